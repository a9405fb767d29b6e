import { Err, Ok } from '@rattanstep/core'
import type { Address, Result, TableError } from '@rattanstep/core'
import type { z } from 'zod'
import { FAULT } from '../types/schemas.js'
import { parseJson } from '../utils/parseJson.js'
import { HttpCaller } from './HttpCaller.js'
import type { HttpAnswer, HttpFailure, HttpOptions } from './HttpCaller.js'

/** Options of the clients for the platform. */
export interface PlatformOptions extends HttpOptions {
  /** Address of the platform. */
  address: Address
}

/** Maximum part of an unexpected response body that is quoted in an error message. */
const MAX_EXCERPT_BYTES = 200

/** Makes calls to the platform. */
export class PlatformClient {
  private readonly caller: HttpCaller
  private readonly address: Address

  /** @param options - platform address and HTTP options */
  constructor (options: PlatformOptions) {
    this.caller = new HttpCaller(options)
    this.address = options.address
  }

  /**
   * Posts a JSON body and validates the response.
   *
   * @param path - path of the operation
   * @param body - request body
   * @param schema - schema of a successful response
   * @param effect - `read`: the fault of a lost response is `unavailable`; `write`: it is `unknown` if bytes may have been sent
   * @returns the validated response, or the fault
   */
  async post<T> (path: string, body: unknown, schema: z.ZodType<T>, effect: 'read' | 'write'): Promise<Result<T, TableError>> {
    const answer = await this.caller.call(this.address, { method: 'POST', path, body: JSON.stringify(body) })
    if (answer.isErr()) return Err(toTableError(answer.error, effect))
    return checkAnswer(answer.value, schema, effect)
  }

  /**
   * Makes a call with a binary body.
   *
   * @param method - `GET`, `PUT` or `DELETE`
   * @param path - path of the resource
   * @param body - bytes to send
   * @returns the complete response, whatever its status, or the fault
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
 * Validates a response of the platform.
 *
 * @param answer - the response
 * @param schema - schema of a successful response
 * @param effect - whether the call only reads or may have changed something
 * @returns the validated content, or the fault
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
    message: `the platform responded with status ${answer.status} and an unexpected body: ${excerpt}; check the platform address and the platform version`
  }
}

function toTableError (failure: HttpFailure, effect: 'read' | 'write'): TableError {
  const fault = failure.sent && effect === 'write' ? 'unknown' : 'unavailable'
  return { fault, message: `the platform did not respond: ${failure.message}` }
}
