/** `throw`: the promise is rejected; `hang`: the promise never resolves. */
export type FailureKind = 'throw' | 'hang'

type ArgumentsOf<Method> = Method extends (...args: infer Arguments) => unknown ? Arguments : never

/**
 * Makes the next matching call of an asynchronous method fail without being carried out.
 *
 * @param target - object with the method
 * @param method - name of the method
 * @param kind - how the call fails
 * @param matches - returns whether a call with these arguments fails
 * @returns a function that tells whether the call has happened
 */
export function failOnce<Target extends object, Name extends keyof Target & string> (target: Target, method: Name, kind: FailureKind, matches: (...args: ArgumentsOf<Target[Name]>) => boolean = () => true): () => boolean {
  const original = target[method] as (...args: unknown[]) => Promise<unknown>
  let hasFailed = false
  const replacement = async (...args: unknown[]): Promise<unknown> => {
    if (hasFailed || !matches(...args as ArgumentsOf<Target[Name]>)) return await original.apply(target, args)
    hasFailed = true
    if (kind === 'throw') throw new Error(`${method} failed`)
    return await new Promise<never>(() => {})
  }
  Object.assign(target, { [method]: replacement })
  return () => hasFailed
}
