import type { TableError } from '@rattanstep/core'
import type { Jobs } from '@rattanstep/jobs'
import { jsonResponse } from './ControlServer.js'
import type { ControlResponse, ControlRequest } from './ControlServer.js'

const JOBS_PATH = '/v1/jobs'

/** Part of the control interface that submits, shows and cancels jobs. */
export class JobsApi {
  /** @param jobs - job service of this node */
  constructor (private readonly jobs: Jobs) {}

  /**
   * @param request - a control request under `/v1/jobs`
   * @returns the response
   */
  async handle (request: ControlRequest): Promise<ControlResponse> {
    const id = parseJobId(request.path)
    if (id === null) return jsonResponse(404, { error: `there is no ${request.path}; give /v1/jobs or /v1/jobs/ID` })
    switch (`${request.method} ${id === '' ? 'all' : 'one'}`) {
      case 'GET all': return await this.list()
      case 'POST all': return await this.submit(request.body)
      case 'GET one': return await this.show(id)
      case 'DELETE one': return await this.cancel(id)
      default: return jsonResponse(405, { error: `${request.method} is not supported here; use GET, POST or DELETE` })
    }
  }

  private async list (): Promise<ControlResponse> {
    const jobs = await this.jobs.list()
    return jobs.isOk() ? jsonResponse(200, { jobs: jobs.value }) : tableErrorResponse(jobs.error)
  }

  private async submit (body: string): Promise<ControlResponse> {
    const spec = parseJson(body)
    if (spec === undefined) return jsonResponse(400, { error: 'the body is not valid JSON; send the job as a JSON object' })
    const submitted = await this.jobs.submit(spec)
    if (submitted.isOk()) return jsonResponse(201, submitted.value)
    const { error } = submitted
    return error.kind === 'findings' ? jsonResponse(422, { findings: error.findings }) : tableErrorResponse(error.error)
  }

  private async show (id: string): Promise<ControlResponse> {
    const job = await this.jobs.status(id)
    if (job.isErr()) return tableErrorResponse(job.error)
    return job.value === null ? jobNotFoundResponse(id) : jsonResponse(200, job.value)
  }

  private async cancel (id: string): Promise<ControlResponse> {
    const job = await this.jobs.cancel(id)
    if (job.isErr()) return tableErrorResponse(job.error)
    return job.value === null ? jobNotFoundResponse(id) : jsonResponse(200, job.value)
  }
}

function parseJobId (path: string): string | null {
  if (path === JOBS_PATH || path === `${JOBS_PATH}/`) return ''
  if (!path.startsWith(`${JOBS_PATH}/`)) return null
  try {
    return decodeURIComponent(path.slice(JOBS_PATH.length + 1))
  } catch {
    return null
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function jobNotFoundResponse (id: string): ControlResponse {
  return jsonResponse(404, { error: `there is no job ${id}; list them with GET ${JOBS_PATH}` })
}

function tableErrorResponse (error: TableError): ControlResponse {
  return jsonResponse(503, { fault: error.fault, error: error.message })
}
