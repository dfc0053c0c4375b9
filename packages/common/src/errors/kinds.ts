/** Whether the work behind a failed request has run. */
export type ExecutionStatus = 'not_run' | 'ran' | 'unknown';

interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly ran: ExecutionStatus;
  /** Whether the same request may succeed when it is sent again. */
  readonly retry: boolean;
  /** What the caller or operator can do. */
  readonly hint: string;
}

/** All error kinds, each with its response. */
export const ERROR_RESPONSES = {
  invalid_request: {
    status: 400,
    ran: 'not_run',
    retry: false,
    hint: 'Correct the request as the message says.',
  },
  unauthenticated: {
    status: 401,
    ran: 'not_run',
    retry: false,
    hint: 'Send a valid key as "Authorization: Bearer <key>".',
  },
  forbidden: {
    status: 403,
    ran: 'not_run',
    retry: false,
    hint: "Ask an operator to grant this to the workspace's plan.",
  },
  not_found: {
    status: 404,
    ran: 'not_run',
    retry: false,
    hint: 'Check the name; GET /v1/models lists the models.',
  },
  method_not_allowed: {
    status: 405,
    ran: 'not_run',
    retry: false,
    hint: 'Use the documented method.',
  },
  request_timeout: {
    status: 408,
    ran: 'not_run',
    retry: true,
    hint: 'Send the whole request in time.',
  },
  call_in_progress: {
    status: 409,
    ran: 'unknown',
    retry: true,
    hint: 'Ask GET /v1/calls/{key} for the outcome.',
  },
  edit_conflict: {
    status: 409,
    ran: 'not_run',
    retry: false,
    hint: 'Fetch the list, merge the named lines, and apply again.',
  },
  gone: {
    status: 410,
    ran: 'unknown',
    retry: false,
    hint: 'The stream can no longer be resumed; send the request again.',
  },
  version_mismatch: {
    status: 412,
    ran: 'not_run',
    retry: true,
    hint: 'Fetch the newest version and apply again.',
  },
  body_too_large: {
    status: 413,
    ran: 'not_run',
    retry: false,
    hint: 'Send a smaller body.',
  },
  key_reused: {
    status: 422,
    ran: 'not_run',
    retry: false,
    hint: 'Use a new Idempotency-Key for another body.',
  },
  quarantined: {
    status: 422,
    ran: 'not_run',
    retry: false,
    hint: 'This request crashed endpoints; change it, or wait for the ban to expire.',
  },
  limit_exceeded: {
    status: 429,
    ran: 'not_run',
    retry: true,
    hint: "The plan's capacity is in use; retry later.",
  },
  headers_too_large: {
    status: 431,
    ran: 'not_run',
    retry: false,
    hint: 'Send smaller headers.',
  },
  internal: {
    status: 500,
    ran: 'unknown',
    retry: false,
    hint: 'Report the request id to the operators.',
  },
  endpoint_failed: {
    status: 502,
    ran: 'unknown',
    retry: true,
    hint: 'The endpoint failed; a model request may be sent again.',
  },
  outcome_unknown: {
    status: 502,
    ran: 'unknown',
    retry: false,
    hint: 'Ask GET /v1/calls/{key} before anything else.',
  },
  no_route: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'No endpoints cover all layers of the model now.',
  },
  overloaded: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'Retry after the stated time.',
  },
  platform_unavailable: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'The platform store does not answer; retry later.',
  },
  suspected: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'Endpoints crashed while running requests like this one; retry after the stated time.',
  },
  rights_unconfirmed: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'This host cannot confirm the lists; another host can.',
  },
  shutting_down: {
    status: 503,
    ran: 'not_run',
    retry: true,
    hint: 'Another host will answer.',
  },
  deadline_exceeded: {
    status: 504,
    ran: 'unknown',
    retry: true,
    hint: 'Allow more time or send less work.',
  },
} as const satisfies Record<string, ErrorResponse>;

export type ErrorKind = keyof typeof ERROR_RESPONSES;
