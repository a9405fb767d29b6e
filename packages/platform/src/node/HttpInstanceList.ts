import { InstanceList } from '@rattanstep/core'
import type { Instance, Result, TableError } from '@rattanstep/core'
import { EMPTY, INSTANCES } from '../types/schemas.js'
import { PlatformClient } from './PlatformClient.js'
import type { PlatformOptions } from './PlatformClient.js'

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  private readonly client: PlatformClient

  /** @param options - where the platform listens and how long to wait */
  constructor (options: PlatformOptions) {
    super()
    this.client = new PlatformClient(options)
  }

  override async list (): Promise<Result<Instance[], TableError>> {
    const answer = await this.client.post('/instances/list', {}, INSTANCES, 'read')
    return answer.map(content => content.instances)
  }

  /**
   * Puts an instance on the list.
   *
   * @param instance - the instance
   */
  async register (instance: Instance): Promise<Result<void, TableError>> {
    const answer = await this.client.post('/instances/register', instance, EMPTY, 'write')
    return answer.map(() => undefined)
  }

  /**
   * Marks an instance as leaving.
   *
   * @param id - the instance
   */
  async leave (id: string): Promise<Result<void, TableError>> {
    const answer = await this.client.post('/instances/leave', { id }, EMPTY, 'write')
    return answer.map(() => undefined)
  }

  /**
   * Takes an instance off the list.
   *
   * @param id - the instance
   */
  async remove (id: string): Promise<Result<void, TableError>> {
    const answer = await this.client.post('/instances/remove', { id }, EMPTY, 'write')
    return answer.map(() => undefined)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.client.close()
  }
}
