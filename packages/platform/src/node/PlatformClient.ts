import { Err, Ok } from '@rattanstep/core'
import type { Address, Result, TableError } from '@rattanstep/core'
import type { z } from 'zod'
import { FAULT } from '../types/schemas.js'
import { parseJson } from '../utils/parseJson.js'
import { HttpCaller } from './HttpCaller.js'
import type { HttpAnswer, HttpFailure, HttpOptions } from './HttpCaller.js'

/** Options of the adapters for the platform service. */
export interface PlatformOptions extends HttpOptions {
  address: Address
}

const MAX_EXCERPT_BYTES = 200

/** JSON calls to the platform service. */
export class PlatformClient {
  private readonly caller: HttpCaller
  private readonly address: Address

  /** @param options - where the platform listens and how long to wait */
  constructor (options: PlatformOptions) {
    this.caller = new HttpCaller(options)
    this.address = options.address
  }

  /**
   * @param path - what to ask
   * @param body - the question
   * @param schema - shape of the answer
   * @param effect - `read`: a lost answer is `unavailable`; `write`: it is `unknown` once bytes may have left
   * @returns the checked answer
   */
  async post<T> (path: string, body: unknown, schema: z.ZodType<T>, effect: 'read' | 'write'): Promise<Result<T, TableError>> {
    const answer = await this.caller.call(this.address, { method: 'POST', path, body: JSON.stringify(body) })
    if (answer.isErr()) return Err(toTableError(answer.error, effect))
    return checkAnswer(answer.value, schema, effect)
  }

  /**
   * @param method - `GET` or `PUT`
   * @param path - what to read or write
   * @param body - bytes to write
   * @returns the whole answer, whatever its status
   */
  async raw (method: 'GET' | 'PUT' | 'DELETE', path: string, body?: Uint8Array): Promise<Result<HttpAnswer, TableError>> {
    const answer = await this.caller.call(this.address, { method, path, body })
    if (answer.isErr()) return Err(toTableError(answer.error, method === 'GET' ? 'read' : 'write'))
    return Ok(answer.value)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.caller.close()
  }
}

/**
 * @param answer - an answer of the platform
 * @param schema - shape of a good answer
 * @param effect - whether the call may have changed something
 * @returns the checked content, or the fault
 */
export function checkAnswer<T> (answer: HttpAnswer, schema: z.ZodType<T>, effect: 'read' | 'write'): Result<T, TableError> {
  const content = parseJson(answer.body)
  if (answer.status === 200) {
    const parsed = schema.safeParse(content)
    return parsed.success ? Ok(parsed.data) : Err(unexpectedBodyError(answer, effect))
  }
  const fault = FAULT.safeParse(content)
  return fault.success ? Err(fault.data) : Err(unexpectedBodyError(answer, effect))
}

function unexpectedBodyError (answer: HttpAnswer, effect: 'read' | 'write'): TableError {
  const excerpt = new TextDecoder().decode(answer.body.subarray(0, MAX_EXCERPT_BYTES))
  return {
    fault: effect === 'read' ? 'unavailable' : 'unknown',
    message: `the platform answered status ${answer.status} with an unexpected body: ${excerpt}; check that the platform address and its version are right`
  }
}

function toTableError (failure: HttpFailure, effect: 'read' | 'write'): TableError {
  const fault = failure.sent && effect === 'write' ? 'unknown' : 'unavailable'
  return { fault, message: `the platform gave no answer: ${failure.message}` }
}
