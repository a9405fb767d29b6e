import type { Ask, Outcome, Result, StoredAnswer } from '@rattanstep/core'
import type { ClaimResult, KeyClaim, Placement } from '@rattanstep/front'
import type { Process } from './Process.js'

/** One attempt of a caller to send a request. */
export interface RequestPlan {
  /** Identifies the request across all attempts. */
  request: number
  class: string
  idempotent: boolean
  /** Idempotency key, or an empty string. */
  key: string
  /** Wall-clock ms of the first attempt; 0 if the caller does not send it. */
  firstSent: number
  /** Duration of the run in ms. */
  duration: number
}

/** Latency of a message between a node and a worker. */
const HOP_MS = 1

/** A run without an answer is abandoned after this time. */
const RUN_TIMEOUT_MS = 5000

/** Maximum time that a request waits for capacity. */
const WAIT_LIMIT_MS = 3000

/** Tag of the run, `unsent` if the placement expired before dispatch, or `silent` if no answer came in time. */
type DispatchResult = { tag: string } | 'unsent' | 'silent'

/** One request that claims its idempotency key, acquires a permit from the node and runs on a simulated endpoint. */
export class CallerRequest {
  private isEnded = false

  /**
   * @param process - node that accepts the request
   * @param plan - the request
   */
  constructor (private readonly process: Process, private readonly plan: RequestPlan) {
    process.options.environment.checker.recordSent(plan.request, plan.idempotent)
  }

  /** Ends the caller's connection without an answer. */
  disconnect (): void {
    this.end('cut', null)
  }

  /** Runs the request and reports the outcome to the caller. */
  async run (): Promise<void> {
    if (this.plan.key === '') {
      const [outcome, tag] = await this.execute()
      this.finish(outcome, tag)
      return
    }
    await this.runWithKey()
  }

  private async runWithKey (): Promise<void> {
    const { keys } = this.process.member
    const claim: KeyClaim = { key: this.plan.key, fingerprint: 'same', firstSent: this.plan.firstSent }
    const claimed = await keys.claim(claim, new AbortController().signal)
    if (claimed.isErr()) return this.finish('not-run', null)
    const { verdict, outcome, answer } = claimed.value
    if (verdict === 'first') return await this.runFirst(claim, claimed.value)
    if (verdict === 'settled') return this.finish(outcome, answer?.body ?? null)
    const isRefused = verdict === 'not-home' || verdict === 'full'
    this.finish(isRefused ? 'not-run' : 'unknown', null)
  }

  private async runFirst (claim: KeyClaim, claimResult: ClaimResult): Promise<void> {
    const [outcome, tag] = await this.execute()
    const answer: StoredAnswer | null = tag === null ? null : { status: 200, headers: [], body: tag }
    this.process.member.keys.settle(claim, claimResult, outcome, answer)
    this.finish(outcome, tag)
  }

  private async execute (): Promise<[Outcome, string | null]> {
    const acquired = await this.acquire()
    if (acquired.isErr()) return ['not-run', null]
    const placement = acquired.value
    const startedAt = this.process.clock.now()
    const result = await this.dispatch(placement)
    const serviceTime = this.process.clock.now() - startedAt
    const ending = result === 'unsent' ? 'unsent' : result === 'silent' ? 'abandoned' : 'completed'
    this.process.member.permits.release(placement, ending, serviceTime)
    if (result === 'unsent') return ['not-run', null]
    return result === 'silent' ? ['unknown', null] : ['run', result.tag]
  }

  private async acquire (): Promise<Result<Placement, unknown>> {
    const ask: Ask = {
      id: `${this.process.incarnation}.${this.plan.request}.${Math.round(this.process.clock.now())}`,
      class: this.plan.class,
      caller: `caller-${this.plan.request % 5}`,
      team: '',
      resources: { slots: 1, cores: 0, memory: 0, accelerators: 0 },
      patience: WAIT_LIMIT_MS,
      waited: 0,
      avoid: []
    }
    return await this.process.member.permits.acquire(ask, new AbortController().signal)
  }

  private async dispatch (placement: Placement): Promise<DispatchResult> {
    const { clock, options } = this.process
    const { simulation, endpoints, onDispatch, workers } = options.environment
    if (clock.now() > placement.validUntil) return 'unsent'
    const worker = workers.get(placement.worker)!
    onDispatch(this.process, placement.worker)
    return await new Promise<DispatchResult>(resolve => {
      const timer = clock.schedule(RUN_TIMEOUT_MS, () => { resolve('silent') })
      const answer = (tag: string): void => {
        simulation.schedule(HOP_MS, () => {
          clock.run(() => {
            timer.cancel()
            resolve({ tag })
          })
        })
      }
      const run = { request: this.plan.request, duration: this.plan.duration, answer }
      simulation.schedule(HOP_MS, () => { endpoints.serve(worker, run) })
    })
  }

  private finish (outcome: Outcome, tag: string | null): void {
    this.process.requests.delete(this)
    this.end(outcome, tag)
  }

  private end (outcome: Outcome | 'cut', tag: string | null): void {
    if (this.isEnded) return
    this.isEnded = true
    this.process.options.environment.checker.recordOutcome(this.plan.request, outcome, tag)
  }
}
