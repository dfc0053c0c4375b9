/**
 * Whether the percent-encoding of a request's path is valid. tinyhttp decodes
 * path parameters before any handler and responds to invalid encoding with plain
 * text.
 *
 * @example
 * isDecodablePath('/v1/calls/%E0%A4%A'); // false
 */
export function isDecodablePath(url: string): boolean {
  try {
    decodeURIComponent(url.split('?')[0]);
    return true;
  } catch {
    return false;
  }
}
