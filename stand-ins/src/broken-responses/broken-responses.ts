import type {Socket} from 'node:net';

/** The rule of HTTP/1.1 that a response breaks (RFC 9110 and 9112). */
export type BrokenRule =
  | 'status'
  | 'status line'
  | 'field name'
  | 'field value'
  | 'content length'
  | 'transfer coding'
  | 'chunk'
  | 'trailer'
  | 'interim'
  | 'no content'
  | 'field lines';

/** The bytes of a response; each character is one byte. */
export interface WrittenResponse {
  readonly name: string;
  readonly text: string;
}

/** How a response arrives: in one piece, or each byte in a piece of its own. */
export type Delivery = 'whole' | 'bytes';

/** Parts of a sound response. */
export interface ResponseParts {
  /** `200 OK` by default. */
  readonly status?: string;
  /** Header lines, each with its line break. */
  readonly fields: string;
  readonly body: string;
}

/** Statuses that end no response: none of HTTP, interim ones, and a change of protocol. */
const STATUSES = ['000', '099', '101', '199', '600', '999'];

/** `%` stands for the status code, `@` for the reason phrase. */
const STATUS_LINES = [
  'HTTP/2.0 % @',
  'HTTP/0.9 % @',
  'HTTP/1.2 % @',
  'HTTP/3 % @',
  'HTTP/11 % @',
  'HTTP /1.1 % @',
  'http/1.1 % @',
  'RTSP/1.0 % @',
  'ICE/1.1 % @',
  'ICY % @',
  ' HTTP/1.1 % @',
  '\0HTTP/1.1 % @',
  'junk\r\nHTTP/1.1 % @',
  'HTTP/1.1% @',
  'HTTP/1.1\t% @',
  'HTTP/1.1  % @',
  'HTTP/1.1 @',
  'HTTP/1.1 +% @',
  'HTTP/1.1 %0 @',
  'HTTP/1.1 %\0 @',
  'HTTP/1.1 %\t@',
  'HTTP/1.1 % @\0',
  'HTTP/1.1 % \x01@',
  'HTTP/1.1 % @\x1b[0m',
  'HTTP/1.1 % @\x7f',
  'HTTP/1.1 % @\r@',
  'GET / HTTP/1.1',
];

const FIELD_NAMES = [
  'x y: 1',
  'x : 1',
  'x\t: 1',
  ' x: 1',
  '\tx: 1',
  'x\ty: 1',
  'x\0y: 1',
  '\0: 1',
  'x\x01y: 1',
  '\x01x: 1',
  'x\x1b: 1',
  'x\x7fy: 1',
  'x\x80y: 1',
  'x\ry: 1',
  ': 1',
  'x',
  'x(y): 1',
  '"x": 1',
  'x,y: 1',
  'x/y: 1',
  'content length: 2',
  'content-length : 2',
  'content-length\0: 2',
  '\x01content-length: 2',
  'transfer-encoding : chunked',
  'transfer-encoding\x0b: chunked',
];

const FIELD_VALUES = [
  'a\0b',
  '\0',
  'a\x01b',
  '\x08',
  'a\x0bb',
  'a\x0cb',
  'a\x1bb',
  'a\x7fb',
  'a\rb',
  'a\nb',
  'a\r\n b',
  'a\r\n\tb',
];

/** `#` stands for the length of the body. */
const LENGTHS = [
  'content-length: 1\r\ncontent-length: #',
  'content-length: #\r\ncontent-length: #',
  'content-length: #, #',
  'content-length: +#',
  'content-length: -#',
  'content-length: #x',
  'content-length: 0x#',
  'content-length:',
  'content-length: # #',
  'content-length: #;',
  'content-length: #.0',
  'content-length: #e0',
  'content-length: 9999999999999999999#',
  'content-length: #\r\ntransfer-encoding: chunked',
];

const CODINGS = [
  'gzip, chunked',
  'identity',
  'chunked, chunked',
  'chunked, identity',
  'xchunked',
  'chunk',
  'chunked;q=1',
  'chunked,',
  '"chunked"',
  'chunked\x01',
  'chun\r\n ked',
  'chunked\r\ntransfer-encoding: chunked',
  'chunked\r\ntransfer-encoding: identity',
  'identity\r\ntransfer-encoding: chunked',
  'chunked\r\ncontent-length: 1',
  '',
];

/** `#` stands for the size of the body in hexadecimal, `@` for the body. */
const CHUNKS = [
  'g\r\n@\r\n0\r\n\r\n',
  '-#\r\n@\r\n0\r\n\r\n',
  '+#\r\n@\r\n0\r\n\r\n',
  '0x#\r\n@\r\n0\r\n\r\n',
  ' #\r\n@\r\n0\r\n\r\n',
  '# \r\n@\r\n0\r\n\r\n',
  'FFFFFFFFFFFFFFFF#\r\n@\r\n0\r\n\r\n',
  '\r\n@\r\n0\r\n\r\n',
  '#;\0\r\n@\r\n0\r\n\r\n',
  '#\r@\r\n0\r\n\r\n',
  '#\r\n@0\r\n\r\n',
  '#\r\n@XX0\r\n\r\n',
  '#\r\n@\r0\r\n\r\n',
  '#\r\n@\r\n0x\r\n\r\n',
  '#\r\n@\r\n0\r\n',
  '#\r\n@\r\n',
];

const TRAILERS = [
  'x y: 1',
  'x : 1',
  ' x: 1',
  'x\0y: 1',
  'x\x01: 1',
  'x',
  ': 1',
  'x: a\0b',
  'x: a\x01b',
  'HTTP/1.1 200 OK',
];

/** Heads before the final one. */
const INTERIM_HEADS = [
  'HTTP/1.1 103 Early Hints\r\nx y: 1',
  'HTTP/1.1 103 Early Hints\r\nx: a\x01b',
  'HTTP/1.1 103 Early\x01Hints',
  'HTTP/1.1 100 \0',
  'HTTP/2.0 103 Early Hints',
  'RTSP/1.0 103 Early Hints',
  'HTTP/1.1 099 Early Hints',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x',
  'HTTP/1.1 103 Early Hints\r\ncontent-length: 5',
  'HTTP/1.1 103 Early Hints\r\ntransfer-encoding: chunked',
];

/**
 * Returns broken forms of a sound response, with the rule that each one breaks. An
 * endpoint in trouble may send any of them.
 *
 * @example
 * for (const {text} of brokenResponses({fields: 'request-id: q1\r\n', body: 'x'})) reply(text);
 */
export function brokenResponses(
  parts: ResponseParts,
): (WrittenResponse & {readonly rule: BrokenRule})[] {
  const {fields, body} = parts;
  const [code, reason] = splitStatus(parts);
  const line = `HTTP/1.1 ${code} ${reason}`;
  const length = `content-length: ${body.length}`;
  const size = body.length.toString(16);
  const sound = join([line], fields, [length], body);
  const chunked = (text: string, head = line) =>
    join([head], fields, ['transfer-encoding: chunked'], text);
  const chunks = `${size}\r\n${body}\r\n0\r\n`;
  const broken = (rule: BrokenRule, name: string, text: string) => ({
    rule,
    name: `${rule} ${JSON.stringify(name)}`,
    text,
  });
  return [
    ...STATUSES.map(status =>
      broken(
        'status',
        status,
        join([`HTTP/1.1 ${status} ${reason}`], fields, [length], body),
      ),
    ),
    ...STATUS_LINES.map(form => {
      const text = form.replace('%', code).replaceAll('@', reason);
      return broken('status line', form, join([text], fields, [length], body));
    }),
    ...FIELD_NAMES.flatMap(name => [
      broken('field name', name, join([line, name], fields, [length], body)),
      broken(
        'field name',
        `${name} (last)`,
        join([line], fields, [length, name], body),
      ),
    ]),
    ...FIELD_VALUES.map(value =>
      broken(
        'field value',
        value,
        join([line, `x: ${value}`], fields, [length], body),
      ),
    ),
    ...LENGTHS.map(form => {
      const text = form.replaceAll('#', String(body.length));
      return broken('content length', form, join([line], fields, [text], body));
    }),
    ...CODINGS.map(coding => {
      const text = `transfer-encoding: ${coding}`;
      const bytes = `${chunks}\r\n`;
      return broken(
        'transfer coding',
        coding,
        join([line], fields, [text], bytes),
      );
    }),
    broken(
      'transfer coding',
      'chunked of HTTP/1.0',
      chunked(`${chunks}\r\n`, `HTTP/1.0 ${code} ${reason}`),
    ),
    ...CHUNKS.map(form =>
      broken(
        'chunk',
        form,
        chunked(form.replace('#', size).replace('@', body)),
      ),
    ),
    ...TRAILERS.map(trailer =>
      broken('trailer', trailer, chunked(`${chunks}${trailer}\r\n\r\n`)),
    ),
    broken(
      'trailer',
      'many lines',
      chunked(`${chunks}${manyLines(20_000).join('\r\n')}\r\n\r\n`),
    ),
    ...INTERIM_HEADS.map(head =>
      broken('interim', head, `${head}\r\n\r\n${sound}`),
    ),
    broken(
      'interim',
      'before RTSP/1.0',
      'HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n' +
        join([`RTSP/1.0 ${code} ${reason}`], fields, [length], body),
    ),
    broken(
      'no content',
      'a length',
      join(['HTTP/1.1 204 No Content'], fields, [length], body),
    ),
    broken(
      'no content',
      'chunks',
      chunked(`${chunks}\r\n`, 'HTTP/1.1 204 No Content'),
    ),
    broken(
      'field lines',
      'before the others',
      join([line, ...manyLines(1_500)], fields, [length], body),
    ),
    broken(
      'field lines',
      'after the others',
      join([line], fields, [length, ...manyLines(1_500)], body),
    ),
    broken(
      'field lines',
      'a long value',
      join([line, `x: ${'x'.repeat(20_000)}`], fields, [length], body),
    ),
  ];
}

/**
 * Returns unusual forms of a response that HTTP/1.1 allows, and that must not be taken for
 * broken ones.
 *
 * @example
 * for (const {text} of soundResponses({fields: 'request-id: q1\r\n', body: 'x'})) reply(text);
 */
export function soundResponses(parts: ResponseParts): WrittenResponse[] {
  const {fields, body} = parts;
  const [code, reason] = splitStatus(parts);
  const line = `HTTP/1.1 ${code} ${reason}`;
  const length = `content-length: ${body.length}`;
  const size = body.length.toString(16);
  const sound = join([line], fields, [length], body);
  const chunked = (text: string) =>
    join([line], fields, ['Transfer-Encoding:  Chunked '], text);
  const forms: readonly [name: string, text: string][] = [
    ['with a length', sound],
    ['in chunks', chunked(`${size}\r\n${body}\r\n0\r\n\r\n`)],
    ['with a chunk extension', chunked(`${size};a=b\r\n${body}\r\n0\r\n\r\n`)],
    ['with a trailer', chunked(`${size}\r\n${body}\r\n0\r\nx: 1\r\n\r\n`)],
    ['without a length', join([line], fields, [], body)],
    [
      'of HTTP/1.0',
      join([`HTTP/1.0 ${code} ${reason}`], fields, [length], body),
    ],
    ['without a reason', join([`HTTP/1.1 ${code} `], fields, [length], body)],
    [
      'with bytes over 127',
      join([`${line}\xff`, 'x: \x80\xff'], fields, [length], body),
    ],
    ['with an empty value', join([line, 'x:'], fields, [length], body)],
    [
      'with white space around a value',
      join([line, 'x:\t 1 \t'], fields, [length], body),
    ],
    [
      'with many lines',
      join([line, ...manyLines(900)], fields, [length], body),
    ],
    [
      'after an interim head',
      `HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n${sound}`,
    ],
    ['after an unknown interim head', `HTTP/1.1 199 \r\n\r\n${sound}`],
  ];
  return forms.map(([name, text]) => ({name, text}));
}

/**
 * Writes a response as an endpoint sends it, and ends the connection.
 *
 * @example
 * createServer(socket => void writeResponse(socket, text, 'bytes'));
 */
export async function writeResponse(
  socket: Socket,
  text: string,
  delivery: Delivery,
): Promise<void> {
  const bytes = Buffer.from(text, 'latin1');
  if (delivery === 'whole') return void socket.end(bytes);
  socket.setNoDelay(true);
  // Thousands of bytes would take seconds one at a time.
  const step = bytes.length > 4_096 ? 64 : 1;
  for (let at = 0; at < bytes.length && !socket.destroyed; at += step) {
    socket.write(bytes.subarray(at, at + step));
    await new Promise(done => setImmediate(done));
  }
  socket.end();
}

function splitStatus({status = '200 OK'}: ResponseParts): [string, string] {
  const space = status.indexOf(' ');
  return [status.slice(0, space), status.slice(space + 1)];
}

function join(
  before: readonly string[],
  fields: string,
  after: readonly string[],
  body: string,
): string {
  const lines = (list: readonly string[]) =>
    list.map(line => `${line}\r\n`).join('');
  return `${lines(before)}${fields}${lines(after)}\r\n${body}`;
}

function manyLines(count: number): string[] {
  return Array.from({length: count}, () => 'x: 1');
}
