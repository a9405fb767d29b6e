import { Chart } from '@rattanstep/core'
import type { ChartFile, Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import membershipChart from '../charts/membership.json' with { type: 'json' }
import { CELL_EVENTS } from '../types/events.js'
import { FENCE_STEP, LINK_TIMEOUT_MS, SUCCESSION_STEP_MS, TERM_RECHECK_DELAY_MS } from '../types/limits.js'
import type { FollowerMessage } from '../types/links.js'
import type { RecordStore, Row, Transaction } from '../types/records.js'
import { Follower } from './Follower.js'
import type { FollowerCallbacks, FollowEndReason, DeciderConnector } from './Follower.js'
import { hashFraction } from './hashText.js'
import { RecentMaximum } from './RecentMaximum.js'
import { repeatWhile } from './repeatWhile.js'
import { SilenceDetector } from './SilenceDetector.js'
import { decodeTerm, TERM_ROW, encodeTerm } from './Term.js'
import type { Term } from './Term.js'

/** Delay between attempts to read the term while the store does not answer. */
const STORE_RETRY_DELAY_MS = 150
/** Timeout of a connection attempt; several times the latency between data centres. */
const CONNECT_TIMEOUT_MS = 400
/** Interval at which a node reads the term while it waits for its turn to claim it; a read takes 4 to 6 ms. */
const CLAIM_POLL_INTERVAL_MS = 50
/** Delay after a claim that failed or got no answer. */
const CLAIM_RETRY_DELAY_MS = 50
/** Maximum number of immediate repeats of a claim that a commit of the offering decider has overtaken; about every second one succeeds. */
const MAX_CLAIM_REPEATS = 10
/**
 * Additional delay of a claim for an instance of strength 0, compared with one of at least a whole core. It applies only to nodes without
 * a rank, since ranks already take the strength into account.
 */
const WEAKNESS_DELAY_MS = 300
/** Period over which the claims of nodes without a rank are spread, by a hash of their names. */
const UNRANKED_SPREAD_MS = 300

/** Time for which a takeover counts as recent: the last one's backlog is worked off by then. */
const TAKEOVER_MEMORY_MS = 10_000
/** Maximum factor by which recent takeovers extend the time that a silent decider has; on the slowest links, a new decider reads the records for 2.5 s. */
const MAX_RECHECK_FACTOR = 16
/** Ratio of that time to the longest recent interval between two confirmations of the term, and to the longest read of its row meanwhile. */
const CONFIRMATION_RATIO = 1.5
const READ_RATIO = 4
/** Maximum of that time. */
const MAX_RECHECK_DELAY_MS = 5000
/** Number of confirmations of the term during a silence after which the link is at fault: the decider would also have sent heartbeats. */
const MAX_SILENT_CONFIRMATIONS = 2

type MembershipRole = 'seeking' | 'connecting' | 'following' | 'suspecting' | 'claiming' | 'deciding' | 'stopped'
type MembershipEvent = 'found' | 'vacant' | 'welcomed' | 'turned-away' | 'refused' | 'silent' | 'heard' | 'closed' | 'called' | 'alive' | 'dead' | 'changed' | 'won' | 'lost' | 'deposed' | 'stop'

const chart = new Chart<MembershipRole, MembershipEvent>(membershipChart as ChartFile)

/** Options of a membership. */
export interface MembershipOptions {
  store: RecordStore
  connector: DeciderConnector
  clock: Clock
  log: Log
  metrics?: Metrics
  node: string
  dataCentre: string
  /** Suitability of this instance as decider; see `CellSettings.strength`. */
  strength: number
  /** Weight in bytes of the open jobs that this node could hold as decider. */
  openJobLimit?: number
  /** Distinguishes the processes that were started under this node's name. */
  start: string
  /** `HOST:PORT` for links. */
  address: string
  follower: FollowerCallbacks
  /** Decides while this node holds the term; resolves when the term is lost. */
  decide: (term: Term, version: number) => Promise<void>
}

/** Finds and follows the decider, or claims the term and becomes the decider. */
export class Membership {
  role: MembershipRole = chart.initial
  /** Term as last read from the store or claimed by this node. */
  term: Term | undefined
  follower: Follower | undefined
  /** Newest term that another node has announced over a link. */
  private announcedTerm: Term | undefined
  /** Addresses of the nodes that followed the former decider, if this node was told. */
  private members: string[] = []
  /** Address of the former decider, or '' if there was none. */
  private formerDecider = ''
  private termRowVersion = 0
  /** Monotonic ms at which this node learned of each of the last terms that were claimed from a silent decider, by fencing token. */
  private readonly suspicionsSeenAt = new Map<number, number>()
  private newestFence = 0
  /** The heartbeats of the decider with a fencing token, over all links to it. */
  private heartbeats: { fence: number, silence: SilenceDetector } | undefined
  /** Place in the order of succession, if the decider assigned one. */
  private rank: number | undefined
  private claimReason = 'no decider'
  /** Whether a planned stop has started, so that this node must not claim the term. */
  private isClaimingStopped = false

  private readonly startedAt: number
  /** Times between confirmations of the last terms, whose holders are as busy as the next one. */
  private readonly confirmationIntervals: RecentMaximum

  constructor (private readonly options: MembershipOptions) {
    this.startedAt = options.clock.now()
    this.confirmationIntervals = new RecentMaximum({ clock: options.clock, period: TAKEOVER_MEMORY_MS })
  }

  /** Runs until `stop` is called. */
  async run (): Promise<void> {
    const { clock, log } = this.options
    await repeatWhile(() => !this.isStopped(), async () => { await this.runOnce() }, { clock, log, step: 'membership' })
  }

  private async runOnce (): Promise<void> {
    let event: MembershipEvent | undefined
    try {
      event = await this.runRole()
    } finally {
      if (event === undefined) this.reset()
    }
    if (!this.isStopped()) this.transition(event)
  }

  /** Starts anew after a fault, since the state that the present role relies on may be incomplete. */
  private reset (): void {
    this.follower?.close()
    this.follower = undefined
    if (!this.isStopped()) this.role = chart.initial
  }

  stop (): void {
    this.transition('stop')
    this.follower?.close()
  }

  /** Makes the node follow only, without claiming the term, from now on. */
  stopClaiming (): void {
    this.isClaimingStopped = true
  }

  /** Handles the announcement of another node that it has claimed the term. */
  handleClaim ({ fence, decider }: Omit<Extract<FollowerMessage, { kind: 'claimed' }>, 'kind'>): void {
    if (fence <= (this.term?.fence ?? 0)) return
    if (typeof decider?.address === 'string') this.announcedTerm = { ...decider, fence, serial: 0, isSuspicion: false }
    this.follower?.supersede()
  }

  /** @returns addresses of the other nodes that were in the cell at the end of the former term, as far as this node was told */
  get formerMembers (): string[] {
    return [...this.members, this.formerDecider].filter(address => address !== '' && address !== this.options.address)
  }

  /**
   * Tells the nodes of the former term that this node has claimed the term, since some of them don't watch the decider closely, and some are not answered
   * by the store and can't read who the decider is.
   */
  async announceClaim (fence: number): Promise<void> {
    const { connector, clock, address, node, start } = this.options
    await Promise.all(this.formerMembers.map(async member => {
      const link = await connector.connect(member, CONNECT_TIMEOUT_MS)
      if (link.isErr()) return
      link.value.send({ kind: 'claimed', fence, decider: { node, start, address } })
      clock.schedule(CONNECT_TIMEOUT_MS, () => { link.value.close() })
    }))
  }

  private isStopped (): boolean {
    return this.role === 'stopped'
  }

  private transition (event: MembershipEvent): void {
    const next = chart.next(this.role, event)
    if (next !== null) this.role = next
  }

  private async runRole (): Promise<MembershipEvent> {
    switch (this.role) {
      case 'seeking': return await this.findDecider()
      case 'connecting': return await this.connect()
      case 'following': return await this.follow()
      case 'suspecting': return await this.checkDecider()
      case 'claiming': return await this.claim()
      default: return await this.decide()
    }
  }

  private async findDecider (): Promise<MembershipEvent> {
    while (!await this.readTerm()) {
      if (this.isStopped()) return 'stop'
      if (this.adoptAnnouncedTerm()) return 'found'
      await this.options.clock.sleep(STORE_RETRY_DELAY_MS)
    }
    const { node, start } = this.options
    if (this.term === undefined) return 'vacant'
    if (this.term.node !== node) return 'found'
    // The term belongs to an earlier process of this node, which has ended.
    if (this.term.start !== start) this.rank = 0
    this.claimReason = 'own former term'
    return 'vacant'
  }

  /**
   * Takes the decider from its announcement while the store does not answer. Otherwise this node would follow nobody after a change of the decider, and
   * would learn of no new configuration.
   *
   * @returns whether a newer term was announced than this node knows
   */
  private adoptAnnouncedTerm (): boolean {
    const announced = this.announcedTerm
    if (announced === undefined || announced.fence <= (this.term?.fence ?? 0)) return false
    this.term = announced
    this.noteTerm()
    return true
  }

  private async connect (): Promise<MembershipEvent> {
    const { connector, clock, log, node, dataCentre, address, strength, openJobLimit, follower, store } = this.options
    const term = this.term!
    const link = await connector.connect(term.address, CONNECT_TIMEOUT_MS)
    if (link.isErr()) {
      log.write(CELL_EVENTS.deciderLost, { decider: term.node, reason: link.error, fence: term.fence })
      this.claimReason = link.error
      return link.error
    }
    this.follower = new Follower(link.value, {
      clock,
      log,
      callbacks: follower,
      node,
      dataCentre,
      address,
      strength,
      openJobLimit,
      storeSilence: () => store.silentFor(),
      storeFailing: () => store.failingFor(),
      checkStore: async () => await this.readTerm(),
      newestFence: () => this.term?.fence ?? 0,
      age: clock.now() - this.startedAt,
      silence: this.heartbeatsOf(term)
    })
    const joinOutcome = await this.follower.join(LINK_TIMEOUT_MS)
    // A busy decider may still answer on this link.
    if (joinOutcome === 'silent') return joinOutcome
    if (joinOutcome !== 'welcomed') {
      this.follower.close()
      this.follower = undefined
      if (joinOutcome === 'turned-away') await clock.sleep(STORE_RETRY_DELAY_MS)
      return joinOutcome
    }
    log.write(CELL_EVENTS.following, { decider: term.node, fence: term.fence })
    return 'welcomed'
  }

  private heartbeatsOf ({ fence }: Term): SilenceDetector {
    const { clock, metrics } = this.options
    if (this.heartbeats?.fence !== fence) this.heartbeats = { fence, silence: new SilenceDetector({ clock, intervals: metrics?.timer('heartbeat_interval') }) }
    return this.heartbeats.silence
  }

  private async follow (): Promise<MembershipEvent> {
    const follower = this.follower!
    await follower.whenDisturbed()
    if (follower.endReason !== undefined) return this.leave(follower.endReason)
    this.options.log.write(CELL_EVENTS.deciderSilent, { decider: this.term?.node, fence: this.term?.fence, ...follower.silenceReport })
    return 'silent'
  }

  /** Handles the end of following. */
  private leave (reason: FollowEndReason | 'silent'): MembershipEvent {
    const { follower, term } = this
    // A decider that has not answered has told nothing of the other nodes.
    if (follower?.hasJoined === true) {
      this.confirmationIntervals.add(follower.confirmationInterval)
      this.rank = follower.rank
      this.members = follower.members
    }
    this.follower = undefined
    if (reason === 'silent') follower?.close()
    this.claimReason = reason
    if (reason === 'superseded' || reason === 'turned-away') return 'changed'
    if (reason === 'called') return 'called'
    this.options.log.write(CELL_EVENTS.deciderLost, { decider: term?.node, reason, fence: term?.fence })
    return reason
  }

  /**
   * Distinguishes a decider that has failed from one that is busy, and from one that only this node can't reach. The link stays open meanwhile. Only time in
   * which this process ran counts against the decider.
   */
  private async checkDecider (): Promise<MembershipEvent> {
    const { clock } = this.options
    const { follower, termRowVersion: versionBefore } = this
    const fence = this.term?.fence
    let versionSeen = -1
    let confirmations = 0
    let longestRead = 0
    for (let waited = 0; ;) {
      const readAt = clock.now()
      const isRead = await this.readTerm()
      if (follower?.endReason !== undefined) return this.leave(follower.endReason)
      if (follower?.isSilent === false) return 'heard'
      if (this.isStopped()) return 'stop'
      if (!isRead) {
        if (follower === undefined) return 'alive'
        await Promise.race([clock.sleep(STORE_RETRY_DELAY_MS), follower.whenChanged()])
        continue
      }
      longestRead = Math.max(longestRead, clock.now() - readAt)
      if (this.term?.fence !== fence) return this.abandonLink('changed')
      if (versionSeen >= 0 && (this.termRowVersion !== versionSeen || versionBefore === 0)) {
        waited = 0
        if (follower === undefined || ++confirmations >= MAX_SILENT_CONFIRMATIONS) return this.abandonLink('alive')
      }
      versionSeen = this.termRowVersion
      const left = this.recheckDelay(longestRead) - waited
      if (left <= 0) break
      const pause = Math.min(TERM_RECHECK_DELAY_MS, left)
      await Promise.race([clock.sleep(pause), ...(follower === undefined ? [] : [follower.whenChanged()])])
      waited += pause
    }
    this.leave('silent')
    return 'dead'
  }

  private abandonLink (event: 'alive' | 'changed'): MembershipEvent {
    if (this.follower !== undefined) this.leave('silent')
    return event
  }

  /**
   * Returns the time in ms that a silent decider has to confirm its term. A takeover makes the next decider busier than the last one was, so that it may be
   * silent in turn. Each recent takeover from a silent decider therefore doubles this time. Hand-overs and takeovers from dead processes don't count. A
   * decider that has confirmed its term at longer intervals lately, or one with a store that answers slowly, has as much more.
   *
   * @param longestRead - longest read of the term row during this silence, in ms
   */
  private recheckDelay (longestRead: number): number {
    const since = this.options.clock.now() - TAKEOVER_MEMORY_MS
    for (const [fence, at] of this.suspicionsSeenAt) if (at < since) this.suspicionsSeenAt.delete(fence)
    this.confirmationIntervals.add(this.follower?.confirmationInterval ?? 0)
    const usual = TERM_RECHECK_DELAY_MS * Math.min(MAX_RECHECK_FACTOR, 2 ** this.suspicionsSeenAt.size)
    return Math.max(usual, Math.min(MAX_RECHECK_DELAY_MS, Math.max(CONFIRMATION_RATIO * this.confirmationIntervals.value, READ_RATIO * longestRead)))
  }

  private noteTerm (): void {
    const fence = this.term?.fence ?? 0
    // The first term that a process sees may be old.
    if (fence > this.newestFence && this.newestFence > 0 && this.term?.isSuspicion === true) this.suspicionsSeenAt.set(fence, this.options.clock.now())
    this.newestFence = Math.max(this.newestFence, fence)
  }

  private async claim (): Promise<MembershipEvent> {
    const { clock, store, node, start, address } = this.options
    const former = this.term
    if (!await this.waitForTurn(former)) return 'lost'
    const term: Term = { fence: (this.term?.fence ?? 0) + FENCE_STEP, node, start, address, serial: 0, isSuspicion: this.claimReason === 'silent' }
    let outcome = await store.commit(this.claimTransaction(term))
    for (let repeats = 0; repeats < MAX_CLAIM_REPEATS && outcome.kind === 'conflict' && this.isOfferStillOpen(outcome.rows); repeats++) {
      outcome = await store.commit(this.claimTransaction(term))
    }
    if (outcome.kind === 'done') return this.acceptTerm(term, outcome.version, former)
    await clock.sleep(CLAIM_RETRY_DELAY_MS)
    // A claim that got no answer may have taken effect.
    if (outcome.kind === 'unknown' && await this.readTerm() && this.term?.node === node && this.term.start === start && this.term.fence === term.fence) return this.acceptTerm(term, this.termRowVersion, former)
    return 'lost'
  }

  private claimTransaction (term: Term): Transaction {
    return { expect: [{ ...TERM_ROW, version: this.termRowVersion }], puts: [{ ...TERM_ROW, value: encodeTerm(term) }] }
  }

  /**
   * Evaluates a conflict of a claim. A decider that offers its term goes on committing, so that a claim may find a newer version of its row.
   *
   * @param rows - the term row in its present state
   * @returns whether the decider that has offered the term still holds it
   */
  private isOfferStillOpen (rows: Row[]): boolean {
    const row = rows.find(each => each.key === TERM_ROW.key)
    if (this.claimReason !== 'called' || row === undefined || decodeTerm(row.value)?.fence !== this.term?.fence) return false
    this.termRowVersion = row.version
    return true
  }

  /** @returns whether the term is still vacant when it is this node's turn to claim it */
  private async waitForTurn (former: Term | undefined): Promise<boolean> {
    const { clock } = this.options
    const claimAt = clock.now() + (this.claimReason === 'called' ? 0 : this.claimDelay())
    for (;;) {
      await clock.sleep(Math.min(CLAIM_POLL_INTERVAL_MS, Math.max(0, claimAt - clock.now())))
      if (this.isClaimingStopped || !await this.readTerm()) {
        await clock.sleep(CLAIM_RETRY_DELAY_MS)
        return false
      }
      if (this.term?.fence !== former?.fence) return false
      if (clock.now() >= claimAt) return true
    }
  }

  private claimDelay (): number {
    if (this.rank !== undefined) return this.rank * SUCCESSION_STEP_MS
    const { node, strength } = this.options
    return UNRANKED_SPREAD_MS * hashFraction(node) + WEAKNESS_DELAY_MS * Math.max(0, 1 - strength)
  }

  private acceptTerm (term: Term, version: number, former: Term | undefined): MembershipEvent {
    this.term = term
    this.termRowVersion = version
    this.formerDecider = former?.address ?? ''
    this.noteTerm()
    this.options.log.write(CELL_EVENTS.termClaimed, { fence: term.fence, reason: this.claimReason, former: former?.node })
    return 'won'
  }

  private async decide (): Promise<MembershipEvent> {
    await this.options.decide(this.term!, this.termRowVersion)
    return 'deposed'
  }

  private async readTerm (): Promise<boolean> {
    const answer = await this.options.store.range({ table: TERM_ROW.table, part: TERM_ROW.part })
    if (answer.isErr()) return false
    const row = answer.value.rows.find(each => each.key === TERM_ROW.key)
    this.termRowVersion = row?.version ?? 0
    this.term = row === undefined ? undefined : decodeTerm(row.value)
    this.noteTerm()
    return true
  }
}
