import { SeededRandom } from '@rattanstep/core'

/** Result of one request. */
export interface RequestResult {
  id: string
  idempotent: boolean
  /** `cut`: no complete answer was received. */
  outcome: 'run' | 'not-run' | 'unknown' | 'cut'
  status: number
  /** Whether the answer is that of this request; true if the request was not run. */
  isBodyCorrect: boolean
  /** URL of the front that was asked. */
  front: string
  /** Wall-clock ms since 1970 at which the request was sent. */
  sentAt: number
  /** ms from sending the request to its outcome. */
  duration: number
}

/** Delay before a caller sends its next request after a refusal. */
const REFUSAL_DELAY_MS = 100

/** Sends requests to the fronts of a cell with a fixed concurrency. */
export class Load {
  readonly results: RequestResult[] = []
  private readonly random: SeededRandom
  private isRunning = true
  private sequence = 0
  private readonly stopped: Promise<void>

  /** @param options - `fronts`: returns the URLs to send to, called for each request; `concurrency`: number of requests in
   * flight; `seed`: seed of the random numbers */
  constructor (private readonly options: { fronts: () => string[], concurrency: number, seed: number }) {
    this.random = new SeededRandom(options.seed)
    const loops = Array.from({ length: options.concurrency }, async () => { await this.sendLoop() })
    this.stopped = Promise.all(loops).then(() => {})
  }

  /** Stops sending. Resolves once all requests in flight have ended. */
  async stop (): Promise<void> {
    this.isRunning = false
    await this.stopped
  }

  /**
   * @param count - maximum number of requests
   * @returns the requests that took longest, the slowest first
   */
  slowest (count: number): RequestResult[] {
    return [...this.results].sort((a, b) => b.duration - a.duration).slice(0, count)
  }

  /** @returns number of requests by outcome */
  counts (): Record<RequestResult['outcome'], number> {
    const counts = { run: 0, 'not-run': 0, unknown: 0, cut: 0 }
    for (const { outcome } of this.results) counts[outcome]++
    return counts
  }

  private async sendLoop (): Promise<void> {
    while (this.isRunning) {
      const front = this.random.pick(this.options.fronts())
      await this.send(front)
    }
  }

  private async send (front: string): Promise<void> {
    const id = `q${this.sequence++}`
    const idempotent = this.random.next() < 0.5
    const body = `body of ${id}`
    const sentAt = Date.now()
    const record = (result: Pick<RequestResult, 'outcome' | 'status' | 'isBodyCorrect'>): void => {
      this.results.push({ id, idempotent, front, sentAt, duration: Date.now() - sentAt, ...result })
    }
    try {
      const headers = { 'echo-time': String(5 + this.random.integer(40)), 'echo-tag': id }
      const answer = await fetch(`${front}/work/${id}`, { method: idempotent ? 'PUT' : 'POST', body, headers })
      const text = await answer.text()
      const outcome = (answer.headers.get('rattanstep-outcome') ?? 'cut') as RequestResult['outcome']
      record({ outcome, status: answer.status, isBodyCorrect: outcome !== 'run' || text === body })
      // A refused caller waits before its next request.
      if (outcome === 'not-run') await new Promise(resolve => setTimeout(resolve, REFUSAL_DELAY_MS))
    } catch {
      record({ outcome: 'cut', status: 0, isBodyCorrect: true })
      await new Promise(resolve => setTimeout(resolve, 20))
    }
  }
}
