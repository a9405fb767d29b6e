import { jsonAnswer } from './ControlServer.js'
import type { ControlAnswer, ControlRequest } from './ControlServer.js'

/** Operators' interface to jobs. */
export class JobsApi {
  /**
   * @param request - a control request under `/v1/jobs`
   * @returns what it is answered with
   */
  async handle (request: ControlRequest): Promise<ControlAnswer> {
    return jsonAnswer(503, { error: `${request.method} ${request.path}: this node runs no jobs` })
  }
}
