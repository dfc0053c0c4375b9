/** Ids of server-sent events, with which any host can resume a stream. */
import {
  id,
  type EndpointId,
  type Epoch,
  type RequestId,
} from '@chivewick/common';

/** Fields of an event id. */
export interface EventId {
  readonly request: RequestId;
  readonly head: EndpointId;
  readonly epoch: Epoch;
  /** Position of the token that the event carried. */
  readonly position: number;
}

/**
 * Formats an event id: request id, head endpoint, epoch and position, joined
 * by slashes; the first two are percent-encoded.
 *
 * @example
 * formatEventId({request, head, epoch: 2, position: 41}); // 'req-1/e1/2/41'
 */
export function formatEventId(event: EventId): string {
  const request = encodeURIComponent(event.request);
  const head = encodeURIComponent(event.head);
  return `${request}/${head}/${event.epoch}/${event.position}`;
}

/**
 * Parses an event id; undefined when it is not one.
 *
 * @example
 * const event = parseEventId(req.headers['last-event-id'] ?? '');
 */
export function parseEventId(text: string): EventId | undefined {
  const parts = /^([^/]+)\/([^/]+)\/(\d{1,9})\/(\d{1,9})$/.exec(text);
  if (parts === null) return undefined;
  try {
    return {
      request: id<RequestId>(decodeURIComponent(parts[1])),
      head: id<EndpointId>(decodeURIComponent(parts[2])),
      epoch: Number(parts[3]),
      position: Number(parts[4]),
    };
  } catch {
    return undefined;
  }
}
