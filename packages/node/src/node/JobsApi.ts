import type { TableError } from '@rattanstep/core'
import type { Jobs } from '@rattanstep/jobs'
import { jsonAnswer } from './ControlServer.js'
import type { ControlAnswer, ControlRequest } from './ControlServer.js'

const PREFIX = '/v1/jobs'

/** Operators' interface to jobs. */
export class JobsApi {
  /** @param jobs - the jobs of the cell, as this node looks after them */
  constructor (private readonly jobs: Jobs) {}

  /**
   * @param request - a control request under `/v1/jobs`
   * @returns what it is answered with
   */
  async handle (request: ControlRequest): Promise<ControlAnswer> {
    const id = readId(request.path)
    if (id === null) return jsonAnswer(404, { error: `there is no ${request.path}; give /v1/jobs or /v1/jobs/ID` })
    switch (`${request.method} ${id === '' ? 'all' : 'one'}`) {
      case 'GET all': return await this.list()
      case 'POST all': return await this.submit(request.body)
      case 'GET one': return await this.show(id)
      case 'DELETE one': return await this.cancel(id)
      default: return jsonAnswer(405, { error: `${request.method} does nothing here; use GET, POST or DELETE` })
    }
  }

  private async list (): Promise<ControlAnswer> {
    const jobs = await this.jobs.list()
    return jobs.isOk() ? jsonAnswer(200, { jobs: jobs.value }) : refuseTable(jobs.error)
  }

  private async submit (body: string): Promise<ControlAnswer> {
    const spec = readJson(body)
    if (spec === undefined) return jsonAnswer(400, { error: 'the body is no JSON; send the job as a JSON object' })
    const submitted = await this.jobs.submit(spec)
    if (submitted.isOk()) return jsonAnswer(201, submitted.value)
    const { error } = submitted
    return error.kind === 'findings' ? jsonAnswer(422, { findings: error.findings }) : refuseTable(error.error)
  }

  private async show (id: string): Promise<ControlAnswer> {
    const job = await this.jobs.status(id)
    if (job.isErr()) return refuseTable(job.error)
    return job.value === null ? missing(id) : jsonAnswer(200, job.value)
  }

  private async cancel (id: string): Promise<ControlAnswer> {
    const job = await this.jobs.cancel(id)
    if (job.isErr()) return refuseTable(job.error)
    return job.value === null ? missing(id) : jsonAnswer(200, job.value)
  }
}

function readId (path: string): string | null {
  if (path === PREFIX || path === `${PREFIX}/`) return ''
  if (!path.startsWith(`${PREFIX}/`)) return null
  try {
    return decodeURIComponent(path.slice(PREFIX.length + 1))
  } catch {
    return null
  }
}

function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function missing (id: string): ControlAnswer {
  return jsonAnswer(404, { error: `there is no job ${id}; list them with GET ${PREFIX}` })
}

function refuseTable (error: TableError): ControlAnswer {
  return jsonAnswer(503, { fault: error.fault, error: error.message })
}
