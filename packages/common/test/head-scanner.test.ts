// Guards against a response of another protocol, or with a line that a parser joins to the
// one before, that is taken for HTTP because its bytes arrive in parts or after an interim
// head.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createHeadScanner} from '../src/http-response/head-scanner.js';

const EARLY = 'HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n';
const PROTOCOL = 'another protocol';

/** What is found, undefined if nothing is, and whether the final head is complete. */
const CASES: readonly [
  text: string,
  fault: string | undefined,
  done: boolean,
][] = [
  ['HTTP/1.1 200 OK\r\nx: 1\r\n\r\n', undefined, true],
  ['HTTP/1.1 200 OK\r\nx: 1\r\n\r\nRTSP/1.0 200 OK\r\n', undefined, true],
  ['HTTP/1.1 200 OK\r\nx: 1\r\n', undefined, false],
  ['HTTP/1.1 204\r\n\r\n', undefined, true],
  [EARLY, undefined, false],
  [`${EARLY}${EARLY}HTTP/1.1 200 OK\r\n\r\n`, undefined, true],
  ['RTSP/1.0 200 OK\r\n\r\n', PROTOCOL, false],
  ['\r\nHTTP/1.1 200 OK\r\n\r\n', PROTOCOL, false],
  [`${EARLY}RTSP/1.0 200 OK\r\n\r\n`, PROTOCOL, false],
  [`${EARLY}${EARLY}ICE/1.0 200 OK\r\n\r\n`, PROTOCOL, false],
  ['HTTP/1.1 103\n\nRTSP/1.0 200 OK\n\n', PROTOCOL, false],
  ['HTTP/1.1 200 OK\r\n x: 1\r\n\r\n', 'a folded line', false],
  ['HTTP/1.1 200 OK\r\nx: 1\r\n\t2\r\n\r\n', 'a folded line', false],
];

function scanInParts(text: string, partBytes: number) {
  const scanner = createHeadScanner();
  const bytes = Buffer.from(text, 'latin1');
  let fault: string | undefined;
  for (let at = 0; at < bytes.length && fault === undefined; at += partBytes)
    fault = scanner.scan(bytes.subarray(at, at + partBytes));
  return {fault, done: scanner.isDone()};
}

for (const [text, fault, done] of CASES)
  test(`head scanner: ${JSON.stringify(text)} has ${fault ?? 'no fault'}`, () => {
    for (let partBytes = 1; partBytes <= text.length; partBytes++)
      assert.deepEqual(scanInParts(text, partBytes), {fault, done});
  });
