import type { IncomingMessage, ServerResponse } from 'node:http'
import { Ok } from '@rattanstep/core'
import type { Address, Clock, Instance, ObjectStore, Result, WorkerError } from '@rattanstep/core'
import { schemas } from '@rattanstep/platform'
import { z } from 'zod'
import { TaskHost } from '../runtime/TaskHost.js'
import { answerJson, JsonServer, readJson } from './JsonServer.js'
import { RequestEcho } from './RequestEcho.js'

const CONTROL_PATH_PREFIX = '/rattanstep/'
const HTTP_CONFLICT = 409

/** What a connection is used for. Connections for task commands do not count against the limit for requests. */
type SocketUse = 'unknown' | 'control' | 'requests'

/** A stand-in for a worker, which echoes callers' requests and runs tasks. */
export class WorkerServer {
  readonly host: TaskHost
  readonly echo: RequestEcho
  readonly instance: Instance
  private readonly sockets = new Map<object, SocketUse>()
  private readonly requestViolations: string[] = []
  private readonly http = new JsonServer(async (request, response) => { await this.answer(request, response) })

  /**
   * @param options - `instance`: description of the worker, whose address `listen` fills in; `clock`: clock of tasks and
   * delays; `objects`: store for checkpoints; `epoch`: see `TaskHost`
   */
  constructor (options: { instance: Instance, clock: Clock, objects?: ObjectStore, epoch?: string }) {
    this.instance = { ...options.instance }
    this.host = new TaskHost({ ...options, worker: options.instance.id, resources: options.instance.resources })
    this.echo = new RequestEcho({ worker: options.instance.id, clock: options.clock, onStart: () => { this.checkSlots() } })
    this.host.otherUsage = () => ({ slots: this.echo.running, cores: 0, memory: 0, accelerators: 0 })
    this.http.server.on('connection', socket => {
      this.sockets.set(socket, 'unknown')
      socket.once('close', () => { this.sockets.delete(socket) })
    })
  }

  /** Descriptions of each time the worker was given more work or connections than it has capacity for. */
  get violations (): string[] {
    return [...this.requestViolations, ...this.host.violations]
  }

  /** Number of open connections that carry callers' requests. */
  get connections (): number {
    return [...this.sockets.values()].filter(use => use === 'requests').length
  }

  /**
   * @param address - address to listen on; port 0 picks a free port
   * @returns the address with the actual port
   */
  async listen (address: Address): Promise<Address> {
    this.instance.address = await this.http.listen(address)
    return this.instance.address
  }

  /** Ends all tasks and closes the server and all connections. */
  async close (): Promise<void> {
    this.host.kill()
    await this.http.close()
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? ''
    if (path.startsWith(CONTROL_PATH_PREFIX)) {
      this.sockets.set(request.socket, 'control')
      await this.handleCommand(path.slice(CONTROL_PATH_PREFIX.length), request, response)
      return
    }
    this.sockets.set(request.socket, 'requests')
    this.checkConnections()
    await this.echo.answer(request, response)
  }

  private async handleCommand (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request)
    const host = this.host
    switch (name) {
      case 'start': return await respond(response, schemas.START, body, async start => (await host.start(start)).map(() => ({})))
      case 'renew': return await respond(response, schemas.RENEW, body, async ({ leases }) => Ok({ missing: host.renew(leases) }))
      case 'stop': return await respond(response, schemas.STOP, body, async ({ tasks }) => {
        host.stop(tasks)
        return Ok({})
      })
      case 'checkpoint': return await respond(response, schemas.TASK, body, async task => (await host.checkpoint(task)).map(object => ({ object })))
      case 'throttle': return await respond(response, schemas.THROTTLE, body, async task => host.throttle(task, task.speed).map(() => ({})))
      case 'report': answerJson(response, 200, { ...host.report(), requests: this.echo.running, connections: this.connections }); return
      case 'log': answerJson(response, 200, this.createLog()); return
      default: answerJson(response, 404, { fault: 'refused', message: `there is no command ${name}` })
    }
  }

  private createLog (): unknown {
    return { worker: this.instance.id, violations: this.violations, peak: this.echo.maxRunning, running: this.echo.running, requests: Object.fromEntries(this.echo.countsById), tags: Object.fromEntries(this.echo.countsByTag), runs: this.host.runs }
  }

  private checkSlots (): void {
    const used = this.echo.running + this.host.usedResources().slots
    const { slots } = this.instance.resources
    if (used > slots) this.requestViolations.push(`${used} slots in use of ${slots}`)
  }

  private checkConnections (): void {
    const limit = this.instance.connections
    if (this.connections > limit) this.requestViolations.push(`${this.connections} connections of ${limit}`)
  }
}

async function respond<T> (response: ServerResponse, schema: z.ZodType<T>, body: unknown, action: (content: T) => Promise<Result<object, WorkerError>>): Promise<void> {
  const content = schema.safeParse(body)
  if (!content.success) {
    answerJson(response, 400, { fault: 'refused', message: `the command has a wrong shape: ${z.prettifyError(content.error)}` })
    return
  }
  const result = await action(content.data)
  if (result.isOk()) answerJson(response, 200, result.value)
  else if (result.error.fault === 'refused') answerJson(response, HTTP_CONFLICT, result.error)
  else response.destroy()
}
