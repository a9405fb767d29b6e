import { Err, ObjectStore, Ok } from '@rattanstep/core'
import type { Result, TableError } from '@rattanstep/core'
import { EMPTY } from '../types/schemas.js'
import { checkAnswer, PlatformClient } from './PlatformClient.js'
import type { PlatformOptions } from './PlatformClient.js'

const HTTP_OK = 200
const HTTP_NOT_FOUND = 404

/** Client for the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  private readonly client: PlatformClient

  /** @param options - platform address and HTTP options */
  constructor (options: PlatformOptions) {
    super()
    this.client = new PlatformClient(options)
  }

  override async get (name: string): Promise<Result<Uint8Array | null, TableError>> {
    const answer = await this.client.raw('GET', objectPath(name))
    if (answer.isErr()) return answer
    if (answer.value.status === HTTP_OK) return Ok(answer.value.body)
    if (answer.value.status === HTTP_NOT_FOUND) return Ok(null)
    return Err({ fault: 'unavailable', message: `the object store responded with status ${answer.value.status}` })
  }

  override async put (name: string, bytes: Uint8Array): Promise<Result<void, TableError>> {
    const answer = await this.client.raw('PUT', objectPath(name), bytes)
    if (answer.isErr()) return answer
    return checkAnswer(answer.value, EMPTY, 'write').map(() => undefined)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.client.close()
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}
