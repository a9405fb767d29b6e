import { Chart } from '@rattanstep/core'
import type { Clock, Ending, Outcome, Random, Refusal } from '@rattanstep/core'
import type { RetryBudget } from '@rattanstep/policy'
import type { Log, Metrics } from '@rattanstep/telemetry'
import file from '../charts/request.json' with { type: 'json' }
import { KeyGuard } from '../runtime/KeyGuard.js'
import type { Keys } from '../runtime/Keys.js'
import { isAheadOfTime, KEY_TIMES } from '../runtime/keyTimes.js'
import { decideOutcome, refusalOutcome } from '../runtime/outcome.js'
import type { Decision } from '../runtime/outcome.js'
import type { Permits, Placement } from '../runtime/Permits.js'
import { aheadOfTimeProblem, keyProblem, refusalProblem, runProblem } from '../runtime/problems.js'
import type { ProbeTimes } from '../runtime/ProbeTimes.js'
import { reportAttempt } from '../runtime/reportAttempt.js'
import { mayRead, openAnswer } from '../runtime/storedAnswer.js'
import { FRONT_EVENTS } from '../types/events.js'
import type { Intake } from '../types/intake.js'
import type { RequestEvent, RequestState } from '../types/life.js'
import type { Problem } from '../types/problem.js'
import type { RunEnd, RunFault } from '../types/run.js'
import { AnswerRelay } from './AnswerRelay.js'
import type { Dispatcher } from './Dispatcher.js'
import { fingerprintOf } from './fingerprintOf.js'
import { endToEnd } from './headers.js'
import type { Reply } from './Reply.js'
import type { RequestBody } from './RequestBody.js'

const chart = new Chart<RequestState, RequestEvent>(file as ConstructorParameters<typeof Chart>[0])

/** Most attempts to run one request. */
const MOST_ATTEMPTS = 4

/** Mean delay before the second attempt, in ms; it doubles with each further one. */
const BACKOFF_MS = 20

/** What every exchange of a front works with. */
export interface ExchangeContext {
  permits: Permits
  keys: Keys
  dispatcher: Dispatcher
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  retries: RetryBudget
  probes: ProbeTimes
}

/** One request on its way from its caller to a worker and back. */
export class Exchange {
  private state: RequestState = chart.initial
  private readonly arrivedAt: number
  private readonly avoid: string[] = []
  private attempts = 0
  /** Milliseconds spent waiting for room, over all attempts. */
  private queued = 0
  private sentBefore = false
  private guard: KeyGuard | null = null
  private placement: Placement | null = null
  private relay: AnswerRelay | null = null

  constructor (
    private readonly context: ExchangeContext,
    private readonly intake: Intake,
    private readonly body: RequestBody,
    private readonly reply: Reply,
    private readonly gone: AbortController
  ) {
    this.arrivedAt = context.clock.now()
  }

  /** Runs the request and answers its caller. */
  async run (): Promise<void> {
    this.context.retries.deposit(this.intake.class.name, this.intake.class.retries)
    try {
      if (this.intake.key !== '' && !(await this.claimKey())) return
      let again = true
      while (again) again = await this.attempt()
    } finally {
      // Nothing is left here unless something was thrown.
      this.release('abandoned', 0)
      this.settle('unknown')
    }
  }

  private get signal (): AbortSignal {
    return this.gone.signal
  }

  private get waited (): number {
    return this.context.clock.now() - this.arrivedAt
  }

  private get timeLeft (): number {
    return this.intake.timeout - this.waited
  }

  private async claimKey (): Promise<boolean> {
    this.step('claim')
    if (isAheadOfTime(this.intake.firstSent, this.context.clock.wall(), KEY_TIMES)) {
      this.refuse(aheadOfTimeProblem())
      return false
    }
    const answer = await this.makeGuard().ask(this.timeLeft, this.signal)
    if (answer?.verdict === 'first') return true
    const stored = answer?.verdict === 'settled' ? answer.answer : null
    if (stored !== null && mayRead(stored, this.intake.credentials)) {
      this.step('replay')
      this.reply.replay(openAnswer(stored))
      this.context.metrics.counter('front_replays', { class: this.intake.class.name }).add()
    } else {
      this.refuse(keyProblem(answer))
    }
    return false
  }

  private makeGuard (): KeyGuard {
    const { key, firstSent, credentials } = this.intake
    const { keys, clock } = this.context
    this.guard = new KeyGuard({ keys, clock, claim: { key, fingerprint: fingerprintOf(this.intake, this.body), firstSent }, credentials })
    return this.guard
  }

  private async attempt (): Promise<boolean> {
    const { permits } = this.context
    this.step('ask')
    this.attempts++
    const askedAt = this.context.clock.now()
    const result = await permits.acquire(this.ask(), this.signal)
    this.queued += this.context.clock.now() - askedAt
    if (result.isErr()) {
      const outcome = refusalOutcome(this.sentBefore)
      this.settle(outcome)
      this.refuse(refusalProblem(result.error, outcome), result.error)
      return false
    }
    this.step('grant')
    const placement = result.value
    this.placement = placement
    const wait = this.waited
    const end = await this.dispatch(placement)
    return await this.conclude(placement, end, wait)
  }

  private ask (): Parameters<Permits['acquire']>[0] {
    const { intake } = this
    const { cores, memory, accelerators } = intake.route
    return {
      id: `${intake.id}.${this.attempts}`,
      class: intake.class.name,
      caller: intake.caller,
      team: intake.team,
      resources: { slots: 1, cores, memory, accelerators },
      patience: Math.max(0, Math.min(intake.class.patience - this.queued, this.timeLeft)),
      waited: this.queued,
      avoid: [...this.avoid]
    }
  }

  private async dispatch (placement: Placement): Promise<RunEnd> {
    const { intake, context } = this
    const timeLeft = Math.max(0, this.timeLeft)
    const bound = Math.min(intake.class.bound, timeLeft)
    this.relay = new AnswerRelay({
      reply: this.reply,
      clock: context.clock,
      idleTimeout: intake.limits.idleTimeout,
      keep: this.guard !== null,
      onSending: () => { this.step('send') },
      onHead: () => { this.step('answer') },
      onSlow: () => { this.gone.abort('caller-slow' satisfies RunFault) }
    })
    return await context.dispatcher.dispatch({
      worker: placement.worker,
      address: placement.address,
      method: intake.method,
      path: intake.path,
      headers: this.headers(),
      body: this.body.open(),
      fresh: !this.isRepeatable,
      bound,
      boundBy: timeLeft < intake.class.bound ? 'deadline' : 'bound',
      probe: context.probes.probe({ work: intake.class, bound, retry: this.isRepeatable && this.attempts === 1 && this.hasRetry }),
      validUntil: placement.validUntil,
      signal: this.signal
    }, this.relay)
  }

  private get isRepeatable (): boolean {
    return this.intake.idempotent && this.body.isReplayable
  }

  private headers (): string[] {
    const flat = endToEnd(this.intake.headers).flat()
    flat.push('rattanstep-request', this.intake.id)
    return flat
  }

  private async conclude (placement: Placement, end: RunEnd, wait: number): Promise<boolean> {
    if (end.step === 'ended') {
      this.step('end')
      this.release('completed', end.serviceTime)
      this.context.probes.observe(this.intake.class.name, end.serviceTime)
      this.settle('run')
      this.report(placement, end, wait, 'run')
      return false
    }
    const decision = decideOutcome({ step: end.step, fault: end.fault ?? 'reset', repeatable: this.isRepeatable, sentBefore: this.sentBefore })
    this.sentBefore ||= end.step !== 'dispatching'
    this.release(decision.ending, decision.ending === 'unsent' ? 0 : end.serviceTime)
    this.report(placement, end, wait, decision.outcome)
    if (decision.action === 'retry' && await this.mayRetry(placement, end)) return true
    this.settle(decision.outcome)
    this.fail(decision, end)
    return false
  }

  private get hasRetry (): boolean {
    const { name, retries } = this.intake.class
    return retries > 0 && this.context.retries.isAvailable(name)
  }

  private async mayRetry (placement: Placement, end: RunEnd): Promise<boolean> {
    const { clock, random, retries } = this.context
    if (this.attempts >= MOST_ATTEMPTS || !this.body.isUnread) return false
    if (this.intake.class.retries === 0 || !retries.tryWithdraw(this.intake.class.name)) return false
    if (end.fault !== 'stale-permit') this.avoid.push(placement.worker)
    const delay = random.jitter(BACKOFF_MS * 2 ** (this.attempts - 1))
    if (delay >= this.timeLeft) return false
    await clock.sleep(delay)
    return !this.signal.aborted
  }

  private fail (decision: Decision, end: RunEnd): void {
    const event = ({ retry: 'fail', answer: 'fail', cut: 'cut', drop: 'leave' } as const)[decision.action]
    if (this.state === 'dispatching' && event === 'fail') this.step('refuse')
    else this.step(event)
    if (decision.action === 'cut') this.reply.cut()
    else if (decision.action !== 'drop') this.reply.refuse(runProblem(decision, end, this.body.fault))
    this.context.log.write(FRONT_EVENTS.answered, {
      request: this.intake.id,
      class: this.intake.class.name,
      fault: end.fault,
      outcome: decision.outcome,
      status: decision.action === 'cut' || decision.action === 'drop' ? 0 : decision.status
    })
  }

  private refuse (problem: Problem, refusal?: Refusal): void {
    this.step(this.signal.aborted ? 'leave' : 'refuse')
    this.reply.refuse(problem)
    this.context.log.write(FRONT_EVENTS.refused, {
      request: this.intake.id,
      class: this.intake.class.name,
      wait: this.waited,
      reason: refusal?.reason ?? problem.code,
      status: problem.status
    })
    this.context.metrics.counter('front_refused', { class: this.intake.class.name, reason: refusal?.reason ?? problem.code }).add()
  }

  private release (ending: Ending, serviceTime: number): void {
    if (this.placement !== null) this.context.permits.release(this.placement, ending, serviceTime)
    this.placement = null
  }

  private settle (outcome: Outcome): void {
    this.guard?.settle(outcome, outcome === 'run' ? this.relay?.stored() ?? null : null)
  }

  private report (placement: Placement, end: RunEnd, wait: number, outcome: Outcome): void {
    const { id, class: work } = this.intake
    reportAttempt(this.context, { request: id, attempt: this.attempts, class: work.name, placement, end, wait, outcome })
  }

  private step (event: RequestEvent): void {
    const next = chart.next(this.state, event)
    if (next === null) throw new Error(`request ${this.intake.id}: '${event}' is not allowed in state '${this.state}'`)
    this.state = next
  }
}
