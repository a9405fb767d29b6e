import { Err, Ok, PERMIT_VALIDITY_MS, workerResource } from '@rattanstep/core'
import type { Ask, Assignment, Ending, Grant, Incarnation, Message, Permit, Refusal, Result, Timer } from '@rattanstep/core'
import { chooseOwner } from '@rattanstep/policy'
import type { OwnerChoice } from '@rattanstep/policy'
import { FRONT_EVENTS } from '../types/events.js'
import type { PermitClientOptions } from '../types/PermitClientOptions.js'
import { PermitList } from './PermitList.js'
import { PermitOutbox } from './PermitOutbox.js'
import { PermitSource } from './PermitSource.js'
import type { Placement } from './PermitSource.js'
import { nextOwner } from './nextOwner.js'

/** Interval at which each owner is sent the list of the permits in use, in ms. */
const RENEWAL_PERIOD_MS = 1000

/** Interval at which an unanswered ask is sent again, in ms. */
const RESEND_MS = 500

/** Time beyond the ask's patience in which the owner's own refusal may still arrive, in ms. */
const REFUSAL_MARGIN_MS = 50

/** Time after which a caller may retry when this front itself refuses an ask, in ms. */
const REFUSAL_RETRY_MS = 1000

interface PendingAsk {
  ask: Ask
  startedAt: number
  owner: Incarnation
  reason: string
  /** Monotonic ms at which the ask was first sent to this owner. */
  sentAt: number
  exclude: Set<Incarnation>
  redirects: number
  resendTimer: Timer
  settle: (result: Result<Placement, Refusal>) => void
}

/** Asks the owners of workers for permits. Messages may be lost, delayed, repeated or reordered. */
export class PermitClient extends PermitSource {
  private readonly pending = new Map<string, PendingAsk>()
  /** Number of asks that each owner has not answered yet. */
  private readonly unansweredAsks = new Map<Incarnation, number>()
  private readonly outbox: PermitOutbox
  private readonly held: PermitList
  /**
   * For each worker, the version of the assignment at which its permits were last reported to a new owner. The new owner
   * does not count permits that are granted at an older version, so such grants are not used.
   */
  private readonly reportedVersions = new Map<string, number>()
  private timer: Timer | null = null

  constructor (private readonly options: PermitClientOptions) {
    super()
    this.outbox = new PermitOutbox(options.network, options.clock)
    this.held = new PermitList(options.clock, options.assignment)
    options.metrics.gauge('front_permits', () => this.held.size)
    options.metrics.gauge('front_asks', () => this.pending.size)
  }

  /** Starts the periodic renewal of permits. */
  start (): void {
    this.timer ??= this.options.clock.repeat(RENEWAL_PERIOD_MS, () => { this.renew() })
  }

  /** Stops the renewals. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
  }

  override async acquire (ask: Ask, signal: AbortSignal): Promise<Result<Placement, Refusal>> {
    const choice = this.choose(ask, new Set())
    if (choice === null) return Err(refusal(ask, 'no-owner'))
    if (signal.aborted) return Err(refusal(ask, 'cancelled'))
    return await new Promise(resolve => {
      const { clock } = this.options
      const deadline = clock.schedule(ask.patience + REFUSAL_MARGIN_MS, () => { this.cancelAsk(ask, 'patience') })
      const withdraw = (): void => { this.cancelAsk(ask, 'cancelled') }
      signal.addEventListener('abort', withdraw, { once: true })
      const settle = (result: Result<Placement, Refusal>): void => {
        deadline.cancel()
        signal.removeEventListener('abort', withdraw)
        resolve(result)
      }
      this.send({ ask, startedAt: clock.now(), exclude: new Set(), redirects: 0, settle }, choice.owner, choice.reason)
    })
  }

  override release (grant: Grant, ending: Ending, serviceTime: number): void {
    const heldPermit = this.held.remove(grant.permit)
    if (heldPermit === undefined) return
    this.outbox.release(this.held.ownerOf(heldPermit), { permit: grant.permit, worker: grant.worker, ending, serviceTime })
  }

  /**
   * Handles a message if it concerns the permits of this front.
   *
   * @param from - sender
   * @param message - a message of any kind
   * @returns whether the message was handled
   */
  receive (from: Incarnation, message: Message): boolean {
    if (message.kind === 'grant') for (const grant of message.grants) this.handleGrant(from, grant)
    else if (message.kind === 'refuse') for (const refused of message.refusals) this.handleRefusal(from, refused)
    else if (message.kind === 'permits-request') this.reportPermits(from, message.version, message.workers)
    else return false
    return true
  }

  /** Sends each owner the complete list of the permits in use at its workers. */
  renew (): void {
    const version = this.options.assignment().version
    for (const [owner, permits] of this.held.byOwner()) {
      this.options.network.send(owner, { kind: 'permits', version, permits })
    }
  }

  /** @returns the permits in use */
  active (): Permit[] {
    return this.held.all()
  }

  /**
   * Applies a new assignment: reports the permits in use to the new owners of workers, and sends the asks that wait at
   * nodes which are no longer holders to other owners.
   *
   * @param assignment - the newest assignment
   * @param previous - the assignment that was applied before
   */
  assignmentChanged (assignment: Assignment, previous: Assignment): void {
    const gained = new Map<Incarnation, string[]>()
    for (const [resource, owner] of Object.entries(assignment.owners)) {
      if (previous.owners[resource] === owner || !resource.startsWith(WORKER_PREFIX)) continue
      const workers = gained.get(owner) ?? []
      workers.push(resource.slice(WORKER_PREFIX.length))
      gained.set(owner, workers)
    }
    for (const [owner, workers] of gained) this.reportPermits(owner, assignment.version, workers)
    const holders = new Set(assignment.holders.map(holder => holder.incarnation))
    for (const pending of [...this.pending.values()]) {
      if (!holders.has(pending.owner)) this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
    }
  }

  private choose (ask: Ask, exclude: ReadonlySet<Incarnation>): OwnerChoice | null {
    const { self, random, priorityOf, dataCentre } = this.options
    return chooseOwner({
      owners: this.options.owners(),
      self,
      priority: priorityOf(ask.class),
      outstanding: this.unansweredAsks,
      random,
      exclude,
      ...(dataCentre === undefined ? {} : { dataCentre })
    })
  }

  private send (base: Pick<PendingAsk, 'ask' | 'startedAt' | 'exclude' | 'redirects' | 'settle'>, owner: Incarnation, reason: string): void {
    const { clock } = this.options
    const now = clock.now()
    const pending: PendingAsk = {
      ...base,
      owner,
      reason,
      sentAt: now,
      resendTimer: clock.repeat(RESEND_MS, () => { this.resend(pending) })
    }
    this.pending.set(base.ask.id, pending)
    this.unansweredAsks.set(owner, (this.unansweredAsks.get(owner) ?? 0) + 1)
    this.outbox.ask(owner, this.currentAsk(pending))
  }

  private currentAsk ({ ask, startedAt }: PendingAsk): Ask {
    const elapsed = this.options.clock.now() - startedAt
    return { ...ask, waited: ask.waited + elapsed, patience: Math.max(0, ask.patience - elapsed) }
  }

  private resend (pending: PendingAsk): void {
    const known = this.options.owners().some(owner => owner.incarnation === pending.owner)
    if (known) this.outbox.ask(pending.owner, this.currentAsk(pending))
    else this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
  }

  private handleGrant (from: Incarnation, grant: Grant): void {
    const pending = this.pending.get(grant.ask)
    if (pending === undefined || pending.owner !== from) {
      if (!this.held.has(grant.permit)) this.returnUnused(from, grant)
      return
    }
    if (this.isOutdated(from, grant)) {
      this.returnUnused(from, grant)
      this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
      return
    }
    this.removePending(pending)
    const { ask, sentAt, owner, reason } = pending
    const grantedAt = sentAt + grant.waited
    this.held.add({ grant, ask, owner, grantedAt })
    const candidates = this.options.owners().map(known => `${known.incarnation} ${known.load.free}/${known.load.slots}`)
    pending.settle(Ok({ ...grant, owner, reason, candidates, validUntil: grantedAt + PERMIT_VALIDITY_MS }))
  }

  private isOutdated (from: Incarnation, grant: Grant): boolean {
    if (grant.version < (this.reportedVersions.get(grant.worker) ?? 0)) return true
    const { version, owners } = this.options.assignment()
    return version > grant.version && owners[workerResource(grant.worker)] !== from
  }

  private returnUnused (owner: Incarnation, { permit, worker }: Grant): void {
    this.outbox.release(owner, { permit, worker, ending: 'unsent', serviceTime: 0 })
  }

  private handleRefusal (from: Incarnation, refused: Refusal): void {
    const pending = this.pending.get(refused.ask)
    if (pending?.owner === from) this.askNextOwner(pending, refused)
  }

  private askNextOwner (pending: PendingAsk, refused: Refusal): void {
    this.removePending(pending)
    pending.exclude.add(pending.owner)
    const choice = nextOwner(refused, pending, () => this.choose(pending.ask, pending.exclude))
    if (choice === null) {
      pending.settle(Err(refused))
      return
    }
    this.options.log.write(FRONT_EVENTS.redirected, { ask: pending.ask.id, owner: pending.owner, reason: refused.reason, next: choice.owner })
    this.outbox.cancel(pending.owner, pending.ask.id)
    this.send({ ...pending, redirects: pending.redirects + 1 }, choice.owner, choice.reason)
  }

  private cancelAsk (ask: Ask, reason: 'patience' | 'cancelled'): void {
    const pending = this.pending.get(ask.id)
    if (pending === undefined) return
    this.removePending(pending)
    this.outbox.cancel(pending.owner, ask.id)
    pending.settle(Err(refusal(ask, reason)))
  }

  private removePending (pending: PendingAsk): void {
    pending.resendTimer.cancel()
    this.pending.delete(pending.ask.id)
    const left = (this.unansweredAsks.get(pending.owner) ?? 1) - 1
    if (left > 0) this.unansweredAsks.set(pending.owner, left)
    else this.unansweredAsks.delete(pending.owner)
  }

  private reportPermits (owner: Incarnation, version: number, workers: string[]): void {
    for (const worker of workers) this.reportedVersions.set(worker, Math.max(version, this.reportedVersions.get(worker) ?? 0))
    this.options.network.send(owner, { kind: 'permits', version, permits: this.held.atWorkers(new Set(workers)) })
  }
}

const WORKER_PREFIX = workerResource('')

function refusal (ask: Ask, reason: 'no-owner' | 'not-owner' | 'patience' | 'cancelled'): Refusal {
  return { ask: ask.id, reason, retryAfter: REFUSAL_RETRY_MS, redirect: '' }
}
