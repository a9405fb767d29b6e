/**
 * Parses JSON without throwing.
 *
 * @param bytes - UTF-8 text
 * @returns the parsed content, or `undefined` if it is not valid JSON
 */
export function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
