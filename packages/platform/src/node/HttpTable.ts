import { Table } from '@rattanstep/core'
import type { Range, Result, Row, TableError, Transaction } from '@rattanstep/core'
import { ROWS } from '../types/schemas.js'
import { PlatformClient } from './PlatformClient.js'
import type { PlatformOptions } from './PlatformClient.js'

/** Client for the platform's table over HTTP. */
export class HttpTable extends Table {
  private readonly client: PlatformClient

  /** @param options - platform address and HTTP options */
  constructor (options: PlatformOptions) {
    super()
    this.client = new PlatformClient(options)
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    const answer = await this.client.post('/table/read', { keys }, ROWS, 'read')
    return answer.map(content => content.rows)
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    const answer = await this.client.post('/table/list', range, ROWS, 'read')
    return answer.map(content => content.rows)
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    const answer = await this.client.post('/table/commit', transaction, ROWS, 'write')
    return answer.map(content => content.rows)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.client.close()
  }
}
