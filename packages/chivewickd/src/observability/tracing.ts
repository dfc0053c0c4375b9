import type {HostSettings} from '@chivewick/common';
import {propagation, trace} from '@opentelemetry/api';
import {
  ExportResultCode,
  W3CTraceContextPropagator,
  type ExportResult,
} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import {createWriteStream} from 'node:fs';

/**
 * Sets up tracing from the settings; without an export target, spans are
 * discarded. Returns a function that flushes the spans and stops tracing.
 */
export function startTracing(settings: HostSettings): () => Promise<void> {
  propagation.setGlobalPropagator(new W3CTraceContextPropagator());
  const exporter = createExporter(settings.tracing);
  if (exporter === undefined) return () => Promise.resolve();
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'chivewickd',
      'service.namespace': settings.firm,
      'service.instance.id': settings.host,
    }),
    spanProcessors: [new BatchSpanProcessor(exporter)],
  });
  trace.setGlobalTracerProvider(provider);
  return () => provider.shutdown();
}

function createExporter(
  tracing: HostSettings['tracing'],
): SpanExporter | undefined {
  if (tracing.otlpUrl !== undefined) {
    return new OTLPTraceExporter({url: tracing.otlpUrl});
  }
  return tracing.file === undefined
    ? undefined
    : createFileExporter(tracing.file);
}

function createFileExporter(file: string): SpanExporter {
  const out = createWriteStream(file, {flags: 'a'});
  return {
    export(spans: ReadableSpan[], done: (result: ExportResult) => void) {
      for (const span of spans) out.write(`${JSON.stringify(lineOf(span))}\n`);
      done({code: ExportResultCode.SUCCESS});
    },
    shutdown: () => new Promise(resolve => out.end(() => resolve())),
  };
}

function lineOf(span: ReadableSpan): object {
  const {traceId, spanId} = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    start: span.startTime,
    duration: span.duration,
    status: span.status.code,
    attributes: span.attributes,
  };
}
