import { InstanceList } from '@rattanstep/core'
import type { Instance, Result, TableError } from '@rattanstep/core'
import { EMPTY, INSTANCES } from '../types/schemas.js'
import { PlatformClient } from './PlatformClient.js'
import type { PlatformOptions } from './PlatformClient.js'

/** Client for the platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  private readonly client: PlatformClient

  /** @param options - platform address and HTTP options */
  constructor (options: PlatformOptions) {
    super()
    this.client = new PlatformClient(options)
  }

  override async list (): Promise<Result<Instance[], TableError>> {
    const answer = await this.client.post('/instances/list', {}, INSTANCES, 'read')
    return answer.map(content => content.instances)
  }

  /**
   * Adds an instance to the list.
   *
   * @param instance - entry to add
   * @returns nothing, or why the instance was not added
   */
  async register (instance: Instance): Promise<Result<void, TableError>> {
    const answer = await this.client.post('/instances/register', instance, EMPTY, 'write')
    return answer.map(() => undefined)
  }

  /**
   * Marks an instance as leaving.
   *
   * @param id - identifier of the instance
   * @returns nothing, or why the instance was not marked
   */
  async leave (id: string): Promise<Result<void, TableError>> {
    const answer = await this.client.post('/instances/leave', { id }, EMPTY, 'write')
    return answer.map(() => undefined)
  }

  /**
   * Removes an instance from the list.
   *
   * @param id - identifier of the instance
   * @returns nothing, or why the instance was not removed
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
