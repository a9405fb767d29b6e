import { Err, Ok, WorkerClient } from '@rattanstep/core'
import type { Instance, Result, TaskLease, TaskStart, WorkerError, WorkerReport } from '@rattanstep/core'
import type { z } from 'zod'
import { CHECKPOINT, EMPTY, MISSING, REPORT, WORKER_FAULT } from '../types/schemas.js'
import { parseJson } from '../utils/parseJson.js'
import { HttpCaller } from './HttpCaller.js'
import type { HttpOptions } from './HttpCaller.js'

/** Path prefix of the task control operations on a worker. */
const CONTROL_PREFIX = '/rattanstep'
const HTTP_OK = 200
/** Number of control connections to one worker. They count towards its connection limit. */
const CONTROL_CONNECTIONS = 1

/** Identifies a task and the fencing token under which it runs. */
interface TaskReference {
  task: string
  fence: number
}

/** Client for the task control of workers over HTTP. */
export class HttpWorkers extends WorkerClient {
  private readonly caller: HttpCaller

  /** @param options - HTTP options; the default is one connection to each worker */
  constructor (options: HttpOptions = {}) {
    super()
    this.caller = new HttpCaller({ connections: CONTROL_CONNECTIONS, ...options })
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    const answer = await this.post(worker, 'start', start, EMPTY)
    return answer.map(() => undefined)
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    const answer = await this.post(worker, 'renew', { leases }, MISSING)
    return answer.map(content => content.missing)
  }

  override async stop (worker: Instance, tasks: TaskReference[]): Promise<Result<void, WorkerError>> {
    const answer = await this.post(worker, 'stop', { tasks }, EMPTY)
    return answer.map(() => undefined)
  }

  override async checkpoint (worker: Instance, task: TaskReference): Promise<Result<string, WorkerError>> {
    const answer = await this.post(worker, 'checkpoint', task, CHECKPOINT)
    return answer.map(content => content.object)
  }

  override async throttle (worker: Instance, task: TaskReference, speed: number): Promise<Result<void, WorkerError>> {
    const answer = await this.post(worker, 'throttle', { ...task, speed }, EMPTY)
    return answer.map(() => undefined)
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    return await this.post(worker, 'report', {}, REPORT)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.caller.close()
  }

  private async post<T> (worker: Instance, command: string, body: unknown, schema: z.ZodType<T>): Promise<Result<T, WorkerError>> {
    const path = `${CONTROL_PREFIX}/${command}`
    const answer = await this.caller.call(worker.address, { method: 'POST', path, body: JSON.stringify(body) })
    if (answer.isErr()) {
      const fault = answer.error.sent ? 'unknown' : 'unreachable'
      return Err({ fault, message: `worker ${worker.id} did not respond: ${answer.error.message}` })
    }
    const content = parseJson(answer.value.body)
    const parsed = answer.value.status === HTTP_OK ? schema.safeParse(content) : undefined
    if (parsed?.success === true) return Ok(parsed.data)
    const fault = WORKER_FAULT.safeParse(content)
    if (answer.value.status !== HTTP_OK && fault.success) return Err(fault.data)
    return Err({ fault: 'unknown', message: `worker ${worker.id} responded with status ${answer.value.status} and an unexpected body` })
  }
}
