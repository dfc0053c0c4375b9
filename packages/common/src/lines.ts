/**
 * Splits a byte stream into lines, without the line feeds. A last line without a
 * line feed is dropped because it may be truncated.
 *
 * @example
 * for await (const line of readLines(res.body)) handle(JSON.parse(line));
 */
export async function* readLines(
  stream: AsyncIterable<Uint8Array>,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of stream) {
    rest += decoder.decode(chunk, {stream: true});
    let end = rest.indexOf('\n');
    let start = 0;
    while (end !== -1) {
      yield rest.slice(start, end);
      start = end + 1;
      end = rest.indexOf('\n', start);
    }
    rest = rest.slice(start);
  }
}
