import { Chart } from '@rattanstep/core'
import type { ChartFile, Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import membershipChart from '../charts/membership.json' with { type: 'json' }
import { CELL_EVENTS } from '../types/events.js'
import { LINK_SILENCE, SUCCESSION_STEP, TERM_RECHECK } from '../types/limits.js'
import type { RecordStore } from '../types/records.js'
import { Follower } from './Follower.js'
import type { FollowerEvents, UpLinker } from './Follower.js'
import { hashShare } from './hashText.js'
import { readTerm, termRow, writeTerm } from './Term.js'
import type { Term } from './Term.js'

/** ms between attempts to read the term while the store does not answer. */
const STORE_RETRY = 150
/** ms to wait for a connection; several times the way between data centres. */
const CONNECT_TIMEOUT = 400
/** ms between looks at the term by a node that waits its turn to claim it; a read takes 4 to 6. */
const CLAIM_WATCH = 50
/** ms before a node looks again after a claim that had no clear outcome. */
const CLAIM_RETRY = 50
/** ms by which an unranked instance without any strength would wait longer than one with a whole core; ranks contain strength. */
const WEAKNESS_DELAY = 300
/** ms over which claims of nodes without a place in line are spread, by a hash of their names. */
const UNRANKED_SPREAD = 300

type Role = 'seeking' | 'connecting' | 'following' | 'suspecting' | 'claiming' | 'deciding' | 'stopped'
type Event = 'found' | 'vacant' | 'welcomed' | 'turned-away' | 'refused' | 'silent' | 'closed' | 'called' | 'alive' | 'dead' | 'changed' | 'won' | 'lost' | 'deposed' | 'stop'

const chart = new Chart<Role, Event>(membershipChart as ChartFile)

/** What membership needs. */
export interface MembershipOptions {
  store: RecordStore
  linker: UpLinker
  clock: Clock
  log: Log
  node: string
  dataCentre: string
  /** See the settings. */
  strength: number
  /** Tells starts of this node apart. */
  start: string
  /** `HOST:PORT` for links. */
  address: string
  follower: FollowerEvents
  /** Begins to decide; resolves when the term is lost. */
  decide: (term: Term, version: number) => Promise<void>
}

/** Which node decides, as this node sees it: follows the decider, or becomes it. */
export class Membership {
  role: Role = chart.initial
  /** The decider's term as last read or held. */
  term: Term | undefined
  follower: Follower | undefined
  private version = 0
  /** Place in the line of successors, if this node was told one. */
  private rank: number | undefined
  private reason = 'no decider'
  /** Between a planned stop's beginning and its end this node claims nothing. */
  private retiring = false

  private readonly startedAt: number

  constructor (private readonly options: MembershipOptions) {
    this.startedAt = options.clock.now()
  }

  /** Runs until stopped. */
  async run (): Promise<void> {
    while (this.role !== 'stopped') {
      const event = await this.act()
      if (this.isStopped()) return
      this.move(event)
    }
  }

  stop (): void {
    this.move('stop')
    this.follower?.close()
  }

  /** From now on the node follows only. */
  retire (): void {
    this.retiring = true
  }

  private isStopped (): boolean {
    return this.role === 'stopped'
  }

  private move (event: Event): void {
    const next = chart.next(this.role, event)
    if (next !== null) this.role = next
  }

  private async act (): Promise<Event> {
    switch (this.role) {
      case 'seeking': return await this.seek()
      case 'connecting': return await this.connect()
      case 'following': return await this.follow()
      case 'suspecting': return await this.suspect()
      case 'claiming': return await this.claim()
      default: return await this.decide()
    }
  }

  private async seek (): Promise<Event> {
    while (!await this.readTerm()) {
      if (this.isStopped()) return 'stop'
      await this.options.clock.sleep(STORE_RETRY)
    }
    const { node, start } = this.options
    if (this.term === undefined) return 'vacant'
    if (this.term.node !== node) return 'found'
    // The term of an earlier start of this node, which is gone.
    if (this.term.start !== start) this.rank = 0
    this.reason = 'own former term'
    return 'vacant'
  }

  private async connect (): Promise<Event> {
    const { linker, clock, log, node, dataCentre, strength, follower, store } = this.options
    const term = this.term!
    const link = await linker.connect(term.address, CONNECT_TIMEOUT)
    if (link.isErr()) {
      log.write(CELL_EVENTS.deciderLost, { decider: term.node, reason: link.error, fence: term.fence })
      this.reason = link.error
      return link.error
    }
    this.follower = new Follower(link.value, { clock, log, events: follower, node, dataCentre, strength, silence: () => store.silence(), term: () => this.term?.fence ?? 0, age: clock.now() - this.startedAt })
    const welcomed = await this.follower.greet(LINK_SILENCE)
    if (welcomed !== 'welcomed') {
      this.follower.close()
      this.follower = undefined
      if (welcomed === 'turned-away') await clock.sleep(STORE_RETRY)
      return welcomed
    }
    log.write(CELL_EVENTS.following, { decider: term.node, fence: term.fence })
    return 'welcomed'
  }

  private async follow (): Promise<Event> {
    const follower = this.follower!
    const end = await follower.whenEnded()
    this.rank = follower.rank
    this.follower = undefined
    this.reason = end
    if (end === 'called') return 'called'
    const { log } = this.options
    log.write(CELL_EVENTS.deciderLost, { decider: this.term?.node, reason: end, fence: this.term?.fence })
    return end
  }

  /** Tells a decider that is gone from one that only this node can't reach. */
  private async suspect (): Promise<Event> {
    const { clock } = this.options
    const before = this.version
    const fence = this.term?.fence
    if (!await this.readTerm()) return 'alive'
    if (this.term?.fence !== fence) return 'changed'
    const seen = this.version
    await clock.sleep(TERM_RECHECK)
    if (!await this.readTerm()) return 'alive'
    if (this.term?.fence !== fence) return 'changed'
    if (this.version !== seen || before === 0) return 'alive'
    this.reason = 'silent'
    return 'dead'
  }

  private async claim (): Promise<Event> {
    const { clock, store, node, start, address } = this.options
    const former = this.term
    if (!await this.awaitTurn(former)) return 'lost'
    const term: Term = { fence: (this.term?.fence ?? 0) + 1, node, start, address, serial: 0 }
    const outcome = await store.commit({ expect: [{ ...termRow, version: this.version }], puts: [{ ...termRow, value: writeTerm(term) }] })
    if (outcome.kind === 'done') return this.won(term, outcome.version, former)
    await clock.sleep(CLAIM_RETRY)
    // A claim without an answer may have taken effect.
    if (outcome.kind === 'unknown' && await this.readTerm() && this.term?.node === node && this.term.start === start && this.term.fence === term.fence) return this.won(term, this.version, former)
    return 'lost'
  }

  /** @returns whether the term is still vacant when it is this node's turn to claim it */
  private async awaitTurn (former: Term | undefined): Promise<boolean> {
    const { clock } = this.options
    const turn = clock.now() + (this.reason === 'called' ? 0 : this.claimDelay())
    for (;;) {
      await clock.sleep(Math.min(CLAIM_WATCH, Math.max(0, turn - clock.now())))
      if (this.retiring || !await this.readTerm()) {
        await clock.sleep(CLAIM_RETRY)
        return false
      }
      if (this.term?.fence !== former?.fence) return false
      if (clock.now() >= turn) return true
    }
  }

  private claimDelay (): number {
    if (this.rank !== undefined) return this.rank * SUCCESSION_STEP
    const { node, strength } = this.options
    return UNRANKED_SPREAD * hashShare(node) + WEAKNESS_DELAY * Math.max(0, 1 - strength)
  }

  private won (term: Term, version: number, former: Term | undefined): Event {
    this.term = term
    this.version = version
    this.options.log.write(CELL_EVENTS.claimed, { fence: term.fence, reason: this.reason, former: former?.node })
    return 'won'
  }

  private async decide (): Promise<Event> {
    await this.options.decide(this.term!, this.version)
    return 'deposed'
  }

  private async readTerm (): Promise<boolean> {
    const answer = await this.options.store.range({ table: termRow.table, part: termRow.part })
    if (answer.isErr()) return false
    const row = answer.value.rows.find(each => each.key === termRow.key)
    this.version = row?.version ?? 0
    this.term = row === undefined ? undefined : readTerm(row.value)
    return true
  }
}
