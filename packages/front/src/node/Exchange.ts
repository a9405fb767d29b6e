import { Chart } from '@rattanstep/core'
import type { Clock, Ending, Outcome, Random, Refusal } from '@rattanstep/core'
import type { RetryBudget } from '@rattanstep/policy'
import type { Log, Metrics } from '@rattanstep/telemetry'
import file from '../charts/request.json' with { type: 'json' }
import { RequestKey } from '../runtime/RequestKey.js'
import type { KeyRegistry } from '../runtime/KeyRegistry.js'
import { isInFuture, KEY_TIMES } from '../runtime/keyTimes.js'
import { decideOutcome, refusalOutcome } from '../runtime/decideOutcome.js'
import type { FailureDecision } from '../runtime/decideOutcome.js'
import type { PermitSource, Placement } from '../runtime/PermitSource.js'
import { firstSentInFutureProblem, keyProblem, refusalProblem, runProblem } from '../runtime/problems.js'
import type { ProbeTimes } from '../runtime/ProbeTimes.js'
import { reportAttempt } from '../runtime/reportAttempt.js'
import { isForCredentials, withoutCredentials } from '../runtime/storedAnswer.js'
import { FRONT_EVENTS } from '../types/events.js'
import type { ResolvedRequest } from '../types/ResolvedRequest.js'
import type { RequestEvent, RequestState } from '../types/states.js'
import type { Problem } from '../types/Problem.js'
import type { RunEnd, RunFault } from '../types/run.js'
import { AnswerRelay } from './AnswerRelay.js'
import type { Dispatcher } from './Dispatcher.js'
import { fingerprintOf } from './fingerprintOf.js'
import { endToEnd } from './headers.js'
import type { Reply } from './Reply.js'
import type { RequestBody } from './RequestBody.js'

const chart = new Chart<RequestState, RequestEvent>(file as ConstructorParameters<typeof Chart>[0])

/** Maximum number of attempts to run one request. */
const MAX_ATTEMPTS = 4

/** Mean delay before the second attempt, in ms; it doubles with each further attempt. */
const BACKOFF_MS = 20

/** Dependencies that all exchanges of a front share. */
export interface ExchangeContext {
  permits: PermitSource
  keys: KeyRegistry
  dispatcher: Dispatcher
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  retryBudget: RetryBudget
  probeTimes: ProbeTimes
}

/** Handles one request: claims its key, gets a permit, sends it to a worker, retries it, and answers the caller. */
export class Exchange {
  private state: RequestState = chart.initial
  private readonly arrivedAt: number
  private readonly avoidedWorkers: string[] = []
  private attempts = 0
  /** Milliseconds spent waiting for permits, over all attempts. */
  private timeQueued = 0
  private wasSentBefore = false
  private requestKey: RequestKey | null = null
  private placement: Placement | null = null
  private relay: AnswerRelay | null = null

  constructor (
    private readonly context: ExchangeContext,
    private readonly request: ResolvedRequest,
    private readonly body: RequestBody,
    private readonly reply: Reply,
    private readonly abortController: AbortController
  ) {
    this.arrivedAt = context.clock.now()
  }

  /** Runs the request and answers its caller. */
  async run (): Promise<void> {
    this.context.retryBudget.deposit(this.request.class.name, this.request.class.retries)
    try {
      if (this.request.key !== '' && !(await this.claimKey())) return
      let retry = true
      while (retry) retry = await this.attempt()
    } finally {
      // Both calls have no effect unless an error was thrown before the permit and the key were given back.
      this.release('abandoned', 0)
      this.settle('unknown')
    }
  }

  private get signal (): AbortSignal {
    return this.abortController.signal
  }

  private get timeElapsed (): number {
    return this.context.clock.now() - this.arrivedAt
  }

  private get timeLeft (): number {
    return this.request.timeout - this.timeElapsed
  }

  private async claimKey (): Promise<boolean> {
    this.transition('claim')
    if (isInFuture(this.request.firstSent, this.context.clock.wall(), KEY_TIMES)) {
      this.refuse(firstSentInFutureProblem())
      return false
    }
    const result = await this.createRequestKey().claim(this.timeLeft, this.signal)
    if (result?.verdict === 'first') return true
    const stored = result?.verdict === 'settled' ? result.answer : null
    if (stored !== null && isForCredentials(stored, this.request.credentials)) {
      this.transition('replay')
      this.reply.replay(withoutCredentials(stored))
      this.context.metrics.counter('front_replays', { class: this.request.class.name }).add()
    } else {
      this.refuse(keyProblem(result))
    }
    return false
  }

  private createRequestKey (): RequestKey {
    const { key, firstSent, credentials } = this.request
    const { keys, clock } = this.context
    this.requestKey = new RequestKey({ keys, clock, claim: { key, fingerprint: fingerprintOf(this.request, this.body), firstSent }, credentials })
    return this.requestKey
  }

  private async attempt (): Promise<boolean> {
    const { permits } = this.context
    this.transition('ask')
    this.attempts++
    const askedAt = this.context.clock.now()
    const result = await permits.acquire(this.createAsk(), this.signal)
    this.timeQueued += this.context.clock.now() - askedAt
    if (result.isErr()) {
      const outcome = refusalOutcome(this.wasSentBefore)
      this.settle(outcome)
      this.refuse(refusalProblem(result.error, outcome), result.error)
      return false
    }
    this.transition('grant')
    const placement = result.value
    this.placement = placement
    const wait = this.timeElapsed
    const end = await this.dispatch(placement)
    return await this.finishAttempt(placement, end, wait)
  }

  private createAsk (): Parameters<PermitSource['acquire']>[0] {
    const { request } = this
    const { cores, memory, accelerators } = request.route
    return {
      id: `${request.id}.${this.attempts}`,
      class: request.class.name,
      caller: request.caller,
      team: request.team,
      resources: { slots: 1, cores, memory, accelerators },
      patience: Math.max(0, Math.min(request.class.patience - this.timeQueued, this.timeLeft)),
      waited: this.timeQueued,
      avoid: [...this.avoidedWorkers]
    }
  }

  private async dispatch (placement: Placement): Promise<RunEnd> {
    const { request, context } = this
    const timeLeft = Math.max(0, this.timeLeft)
    const bound = Math.min(request.class.bound, timeLeft)
    this.relay = new AnswerRelay({
      reply: this.reply,
      clock: context.clock,
      idleTimeout: request.limits.idleTimeout,
      storeAnswer: this.requestKey !== null,
      onSending: () => { this.transition('send') },
      onHead: () => { this.transition('answer') },
      onSlow: () => { this.abortController.abort('caller-slow' satisfies RunFault) }
    })
    return await context.dispatcher.dispatch({
      worker: placement.worker,
      address: placement.address,
      method: request.method,
      path: request.path,
      headers: this.forwardedHeaders(),
      body: this.body.open(),
      fresh: !this.isRepeatable,
      bound,
      boundBy: timeLeft < request.class.bound ? 'deadline' : 'bound',
      probe: context.probeTimes.timeFor({ requestClass: request.class, bound, willRetry: this.isRepeatable && this.attempts === 1 && this.canRetry }),
      validUntil: placement.validUntil,
      signal: this.signal
    }, this.relay)
  }

  private get isRepeatable (): boolean {
    return this.request.idempotent && this.body.isReplayable
  }

  private forwardedHeaders (): string[] {
    const flat = endToEnd(this.request.headers).flat()
    flat.push('rattanstep-request', this.request.id)
    return flat
  }

  private async finishAttempt (placement: Placement, end: RunEnd, wait: number): Promise<boolean> {
    if (end.step === 'ended') {
      this.transition('end')
      this.release('completed', end.serviceTime)
      this.context.probeTimes.observe(this.request.class.name, end.serviceTime)
      this.settle('run')
      this.report(placement, end, wait, 'run')
      return false
    }
    const decision = decideOutcome({ step: end.step, fault: end.fault ?? 'reset', repeatable: this.isRepeatable, sentBefore: this.wasSentBefore })
    this.wasSentBefore ||= end.step !== 'dispatching'
    this.release(decision.ending, decision.ending === 'unsent' ? 0 : end.serviceTime)
    this.report(placement, end, wait, decision.outcome)
    if (decision.action === 'retry' && await this.prepareRetry(placement, end)) return true
    this.settle(decision.outcome)
    this.answerFailure(decision, end)
    return false
  }

  private get canRetry (): boolean {
    const { name, retries } = this.request.class
    return retries > 0 && this.context.retryBudget.isAvailable(name)
  }

  private async prepareRetry (placement: Placement, end: RunEnd): Promise<boolean> {
    const { clock, random, retryBudget } = this.context
    if (this.attempts >= MAX_ATTEMPTS || !this.body.isUnread) return false
    if (this.request.class.retries === 0 || !retryBudget.tryWithdraw(this.request.class.name)) return false
    if (end.fault !== 'stale-permit') this.avoidedWorkers.push(placement.worker)
    const delay = random.jitter(BACKOFF_MS * 2 ** (this.attempts - 1))
    if (delay >= this.timeLeft) return false
    await clock.sleep(delay)
    return !this.signal.aborted
  }

  private answerFailure (decision: FailureDecision, end: RunEnd): void {
    const event = ({ retry: 'fail', answer: 'fail', cut: 'cut', drop: 'leave' } as const)[decision.action]
    if (this.state === 'dispatching' && event === 'fail') this.transition('refuse')
    else this.transition(event)
    if (decision.action === 'cut') this.reply.cut()
    else if (decision.action !== 'drop') this.reply.sendProblem(runProblem(decision, end, this.body.fault))
    this.context.log.write(FRONT_EVENTS.failed, {
      request: this.request.id,
      class: this.request.class.name,
      fault: end.fault,
      outcome: decision.outcome,
      status: decision.action === 'cut' || decision.action === 'drop' ? 0 : decision.status
    })
  }

  private refuse (problem: Problem, refusal?: Refusal): void {
    this.transition(this.signal.aborted ? 'leave' : 'refuse')
    this.reply.sendProblem(problem)
    this.context.log.write(FRONT_EVENTS.refused, {
      request: this.request.id,
      class: this.request.class.name,
      wait: this.timeElapsed,
      reason: refusal?.reason ?? problem.code,
      status: problem.status
    })
    this.context.metrics.counter('front_refused', { class: this.request.class.name, reason: refusal?.reason ?? problem.code }).add()
  }

  private release (ending: Ending, serviceTime: number): void {
    if (this.placement !== null) this.context.permits.release(this.placement, ending, serviceTime)
    this.placement = null
  }

  private settle (outcome: Outcome): void {
    this.requestKey?.settle(outcome, outcome === 'run' ? this.relay?.storedAnswer() ?? null : null)
  }

  private report (placement: Placement, end: RunEnd, wait: number, outcome: Outcome): void {
    const { id, class: requestClass } = this.request
    reportAttempt(this.context, { request: id, attempt: this.attempts, class: requestClass.name, placement, end, wait, outcome })
  }

  private transition (event: RequestEvent): void {
    const next = chart.next(this.state, event)
    if (next === null) throw new Error(`request ${this.request.id}: '${event}' is not allowed in state '${this.state}'`)
    this.state = next
  }
}
