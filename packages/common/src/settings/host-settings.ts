import {z} from 'zod';

const address = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be "ip:port", by IP number');
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and "-"');
const digest = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex');

/** Settings of one chivewick host, as the daemon reads them from YAML. */
export const hostSettingsSchema = z.strictObject({
  firm: name.describe('Firm that this deployment serves.'),
  host: name.describe('Name of this host; unique among the hosts of the firm.'),
  failureDomain: name.describe('Failure domain that this host stands in.'),
  callers: z.strictObject({
    listen: address.describe('Address of the HTTP API for callers.'),
    maxRunning: z
      .int()
      .min(1)
      .default(512)
      .describe('Model requests in progress on this host at most.'),
  }),
  operators: z.strictObject({
    listen: address.describe('Address of the administration API.'),
    keys: z
      .array(z.strictObject({name, sha256: digest}))
      .describe('Administration keys, as digests.'),
  }),
  peers: z.strictObject({
    listen: address.describe('Address for the other hosts of the firm.'),
    secret: z
      .string()
      .min(16)
      .describe('Shared by all hosts of the firm; proves membership.'),
    hosts: z
      .record(name, address)
      .default({})
      .describe('Addresses of the other hosts.'),
  }),
  platform: z.strictObject({
    objectApi: address.describe('Address of the object API.'),
    hostList: address.describe('Address of the host list.'),
    hostListRefreshMs: z.int().min(10).default(500),
  }),
  ledger: z
    .strictObject({
      partitions: z.int().min(1).max(4_096).default(16),
    })
    .prefault({}),
  limits: z
    .strictObject({
      maxRequestMs: z
        .int()
        .min(1_000)
        .default(900_000)
        .describe(
          "Longest that a request may run. A dead host's share of a plan is freed after this time, so all hosts of a firm need the same value.",
        ),
    })
    .prefault({}),
  orders: z
    .strictObject({
      enabled: z
        .boolean()
        .default(false)
        .describe(
          'Whether this host may order engines to load what the entitlements grant; needs the same value on all hosts.',
        ),
      weightStore: address
        .optional()
        .describe(
          'Address of the weight store, asked before each load; loads are paced without it, too.',
        ),
      loadsPerSecond: z
        .number()
        .positive()
        .default(4)
        .describe('Loads that the weight store allows per second.'),
      leaseMs: z
        .int()
        .min(1_000)
        .default(10_000)
        .describe(
          'Time after which another host takes over from a lost one; needs the same value on all hosts.',
        ),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      unreadyMs: z
        .int()
        .min(0)
        .default(1_000)
        .describe('Time between "not ready" and closed listeners.'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
  tracing: z
    .strictObject({
      otlpUrl: z
        .url()
        .optional()
        .describe('OTLP over HTTP, such as http://10.0.0.9:4318/v1/traces.'),
      file: z
        .string()
        .optional()
        .describe('File that gets one JSON line a span.'),
    })
    .prefault({}),
});

export type HostSettings = z.output<typeof hostSettingsSchema>;
