import type { ExplainQuery } from '../types/explain.js'
import type { ExplanationAnswer } from '../types/links.js'
import { readExplainQuery } from './readExplainQuery.js'

/** Response of a port for operators. */
export interface TextResponse {
  status: number
  text: string
  /** Media type, plain text by default. */
  type?: string
}

/** @returns whether a path is that of requests for explanations */
export function isExplainPath (path: string): boolean {
  return path === '/explain' || path.startsWith('/explain?')
}

/**
 * Answers the request `GET /explain`, which changes nothing.
 *
 * @param request - method and path of the request
 * @param ask - asks the decider
 * @returns 200 with the explanation as JSON; 400 for a query that can't be read, 405 for another method, 429 if the decider has explained another job a
 * moment ago, 503 if there is no decider that answers
 */
export async function answerExplainRequest ({ method, url }: { method?: string, url: string }, ask: (query: ExplainQuery) => Promise<ExplanationAnswer | undefined>): Promise<TextResponse> {
  if (method !== 'GET') return { status: 405, text: 'only GET is served here\n' }
  const query = readExplainQuery(url)
  if (query.isErr()) return { status: 400, text: `${query.error}\n` }
  const answer = await ask(query.value)
  if (answer === undefined) return { status: 503, text: 'no decider has answered\n' }
  if ('problem' in answer) return answer.problem === 'busy' ? { status: 429, text: 'the decider has explained another job a moment ago\n' } : { status: 503, text: 'the decider has not read the records yet\n' }
  return { status: 200, text: JSON.stringify(answer.explanation), type: 'application/json' }
}
