/** A configuration of the operator, as PROTOCOL.md describes it. */
export function configOf({version = 7, routes, services, tenants}) {
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/healthz',
      maxConns: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants,
  };
}

export function route(changes) {
  return {
    name: 'r-1',
    host: 'ficu95.example',
    pathPrefix: '/puxa403/',
    kind: 'idempotent',
    timeoutMs: 2_500,
    goalMs: 193,
    priority: 2,
    maxAttempts: 2,
    public: false,
    ...changes,
  };
}
