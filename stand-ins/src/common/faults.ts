import type {App} from '@tinyhttp/app';
import type {IncomingMessage} from 'node:http';

/** Faults of a stand-in, which tests change while it runs. */
export type Faults = Record<string, unknown>;

/** Reads the body of a request as a string. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Adds `GET /faults`, and `POST /faults`, which merges its body into the faults. */
export function serveFaults(app: App, faults: Faults): void {
  app.get('/faults', (_req, res) => {
    res.json(faults);
  });
  app.post('/faults', async (req, res) => {
    Object.assign(faults, JSON.parse(await readBody(req)));
    res.json(faults);
  });
}
