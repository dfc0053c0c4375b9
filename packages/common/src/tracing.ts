import {
  context,
  SpanStatusCode,
  trace,
  type Attributes,
  type Context,
} from '@opentelemetry/api';

const tracer = trace.getTracer('chivewick');

/**
 * Runs a function inside a span for one hop; a failed result or an exception sets
 * the span's status to error. The function gets the context for child spans.
 *
 * @example
 * await withSpan(parent, 'admission', {class: 'draft'}, () => admission.acquire(request));
 */
export async function withSpan<T>(
  parent: Context,
  name: string,
  attributes: Attributes,
  run: (inner: Context) => Promise<T>,
): Promise<T> {
  const span = tracer.startSpan(name, {attributes}, parent);
  try {
    const value = await run(trace.setSpan(parent, span));
    const failed = (value as {ok?: boolean} | undefined)?.ok === false;
    if (failed) span.setStatus({code: SpanStatusCode.ERROR});
    return value;
  } catch (err) {
    span.recordException(err as Error);
    span.setStatus({code: SpanStatusCode.ERROR});
    throw err;
  } finally {
    span.end();
  }
}

/** A context without a span. */
export const ROOT_CONTEXT: Context = context.active();
