/**
 * @param bytes - UTF-8 text
 * @returns the parsed content, or `undefined` when it is no JSON
 */
export function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
