/** Thrown if a node stops before it serves callers. */
export class StartError extends Error {
  override readonly name = 'StartError'
}
