/** A node ended before it served. */
export class StartError extends Error {
  override readonly name = 'StartError'
}
