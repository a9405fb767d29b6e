import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Address, Clock, Instance, Result, TableError } from '@rattanstep/core'
import { Ok } from '@rattanstep/core'
import { schemas } from '@rattanstep/platform'
import { z } from 'zod'
import { MemoryInstanceList } from '../runtime/MemoryInstanceList.js'
import { MemoryObjectStore } from '../runtime/MemoryObjectStore.js'
import { MemoryTable } from '../runtime/MemoryTable.js'
import { answerJson, JsonServer, readBody, readJson } from './JsonServer.js'

const OBJECTS_PATH_PREFIX = '/objects/'

const INSTANCE_ID = z.object({ id: z.string().min(1) })

const FAULT_CHANGE = z.object({
  target: z.enum(['table', 'objects', 'instances']),
  faults: z.object({
    down: z.boolean().optional(),
    slow: z.number().min(0).optional(),
    loseAnswers: z.boolean().optional(),
    lateWrites: z.number().min(0).optional()
  })
})

const STATUS_OF_FAULT = { conflict: 409, unavailable: 503 }

/** A stand-in for the platform's table, object store and instance list, over HTTP. */
export class PlatformServer {
  readonly table: MemoryTable
  readonly objects: MemoryObjectStore
  readonly instances: MemoryInstanceList
  private readonly http = new JsonServer(async (request, response) => { await this.answer(request, response) })

  /**
   * @param options - `clock`: clock for injected delays; `lag`: ms until a change of the instance list is visible (default 0)
   */
  constructor (options: { clock: Clock, lag?: number }) {
    this.table = new MemoryTable(options)
    this.objects = new MemoryObjectStore(options)
    this.instances = new MemoryInstanceList(options)
  }

  /**
   * @param address - address to listen on; port 0 picks a free port
   * @returns the address with the actual port
   */
  async listen (address: Address): Promise<Address> {
    return await this.http.listen(address)
  }

  /** Closes the server and all connections. */
  async close (): Promise<void> {
    await this.http.close()
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? ''
    if (path.startsWith(OBJECTS_PATH_PREFIX)) {
      await this.answerObject(request, response, path.slice(OBJECTS_PATH_PREFIX.length))
      return
    }
    if (request.method !== 'POST') {
      answerJson(response, 404, { fault: 'unavailable', message: `nothing answers ${request.method ?? ''} ${path}` })
      return
    }
    await this.answerPost(path, await readJson(request), response)
  }

  private async answerPost (path: string, body: unknown, response: ServerResponse): Promise<void> {
    switch (path) {
      case '/table/read': return await respond(response, schemas.READ, body, async read => wrapRows(await this.table.read(read.keys)))
      case '/table/list': return await respond(response, schemas.RANGE, body, async range => wrapRows(await this.table.list(range)))
      case '/table/commit': return await respond(response, schemas.TRANSACTION, body, async transaction => wrapRows(await this.table.commit(transaction)))
      case '/instances/list': return await respond(response, z.object({}), body, async () => (await this.instances.list()).map(instances => ({ instances })))
      case '/instances/register': return await respond(response, schemas.INSTANCE, body, async instance => this.register(instance))
      case '/instances/leave': return await respond(response, INSTANCE_ID, body, async ({ id }) => {
        this.instances.leave(id)
        return Ok({})
      })
      case '/instances/remove': return await respond(response, INSTANCE_ID, body, async ({ id }) => {
        this.instances.remove(id)
        return Ok({})
      })
      case '/faults': return await respond(response, FAULT_CHANGE, body, async change => {
        Object.assign(this[change.target].faults, change.faults)
        return Ok({})
      })
      default: answerJson(response, 404, { fault: 'unavailable', message: `nothing answers POST ${path}` })
    }
  }

  private register (instance: Instance): Result<object, TableError> {
    this.instances.add(instance)
    return Ok({})
  }

  private async answerObject (request: IncomingMessage, response: ServerResponse, encoded: string): Promise<void> {
    const name = decodeName(encoded)
    if (name === null) {
      answerJson(response, 400, { fault: 'unavailable', message: 'the name of the object is not percent-encoded' })
      return
    }
    if (request.method === 'PUT') {
      const stored = await this.objects.put(name, await readBody(request))
      answerResult(response, stored.map(() => ({})))
      return
    }
    const found = await this.objects.get(name)
    if (found.isErr()) answerResult(response, found)
    else if (found.value === null) answerJson(response, 404, { fault: 'unavailable', message: 'there is no such object' })
    else response.writeHead(200, { 'content-type': 'application/octet-stream' }).end(found.value)
  }
}

function wrapRows<T> (rows: Result<T, TableError>): Result<{ rows: T }, TableError> {
  return rows.map(found => ({ rows: found }))
}

async function respond<T> (response: ServerResponse, schema: z.ZodType<T>, body: unknown, action: (content: T) => Promise<Result<object, TableError>>): Promise<void> {
  const content = schema.safeParse(body)
  if (!content.success) {
    answerJson(response, 400, { fault: 'unavailable', message: `the request has a wrong shape: ${z.prettifyError(content.error)}` })
    return
  }
  answerResult(response, await action(content.data))
}

function answerResult (response: ServerResponse, result: Result<object, TableError>): void {
  if (result.isOk()) {
    answerJson(response, 200, result.value)
    return
  }
  const { fault } = result.error
  if (fault === 'unknown') response.destroy()
  else answerJson(response, STATUS_OF_FAULT[fault], result.error)
}

function decodeName (encoded: string): string | null {
  try {
    return decodeURIComponent(encoded)
  } catch {
    return null
  }
}
