import { EMPTY_ASSIGNMENT, SeededRandom } from '@rattanstep/core'
import type { Assignment, Instance, Load, ResourceKey } from '@rattanstep/core'
import { Ownership } from '../../src/index.js'
import type { Timing } from '../../src/index.js'
import { parseAssignmentText } from '../../src/utils/parseAssignmentText.js'
import { CountingLog } from './CountingLog.js'
import { FakeNetwork, FakeWire } from './FakeNetwork.js'
import { FakeStore, FakeTable } from './FakeTable.js'
import { NodeClock, Simulation } from '@rattanstep/stand-ins'

/** One simulated node process. */
export interface Process {
  id: string
  incarnation: string
  clock: NodeClock
  ownership: Ownership
}

/** Options of a simulated cell. */
export interface CellOptions {
  seed?: number
  nodes?: number
  resources?: ResourceKey[]
  /** Difference between the rate of a clock and true time, as a fraction; its sign is random. */
  drift?: number
  /** Maximum lag of the platform's list in ms; each process gets a random lag of its own. */
  listLag?: number
  timing?: Partial<Timing>
  keepsLog?: boolean
  load?: Load
}

/**
 * Simulates several nodes with a fake network, table and platform list. After each event it checks the invariant that
 * a node which may admit for a resource is its owner in the table. This is stronger than the rule that no two nodes may
 * admit for a resource at once.
 */
export class Cell {
  readonly simulation = new Simulation()
  readonly random: SeededRandom
  readonly wire: FakeWire
  readonly store = new FakeStore()
  readonly processes = new Map<string, Process>()
  readonly log: CountingLog
  readonly violations: string[] = []
  resources: ResourceKey[]
  private readonly load: Load | null
  private readonly listLag: number
  private readonly lists: Array<{ at: number, list: Instance[] | null }> = []
  private readonly drift: number
  private readonly timing: Partial<Timing>
  private incarnationCount = 0
  /** The last valid assignment in the table; a test may replace the row by a damaged one. */
  private lastReadable: Assignment = EMPTY_ASSIGNMENT
  private lastRowText = ''

  constructor (options: CellOptions = {}) {
    const { seed = 1, nodes = 3 } = options
    this.random = new SeededRandom(seed)
    this.wire = new FakeWire(this.simulation, this.random)
    this.resources = options.resources ?? ['worker/a', 'worker/b', 'worker/c', 'shard/0']
    this.load = options.load ?? null
    this.listLag = options.listLag ?? 0
    this.drift = options.drift ?? 0
    this.timing = options.timing ?? {}
    this.log = new CountingLog(options.keepsLog === true)
    const instances = Array.from({ length: nodes }, (_, index) => entry(`n${index}`))
    this.instances = instances
    for (const { id } of instances) this.start(id)
  }

  /** Starts a process on an instance. */
  start (id: string): Process {
    const incarnation = `${id}@${++this.incarnationCount}`
    const rate = 1 + this.drift * this.random.pick([-1, 1])
    const clock = new NodeClock({ simulation: this.simulation, rate, offset: this.random.next() * 1e6 })
    const lag = this.random.next() * this.listLag
    const network = new FakeNetwork(this.wire, incarnation, clock)
    const ownership = new Ownership({
      self: { incarnation, dataCentre: dataCentreOf(id), peer: { host: '127.0.0.1', port: 1 }, draining: false },
      network,
      table: new FakeTable(this.store, this.simulation, clock, this.random),
      clock,
      random: this.random,
      log: this.log,
      instances: () => this.listAt(lag),
      resources: () => this.resources,
      load: () => this.load,
      rulesVersion: () => 1,
      timing: this.timing
    })
    network.setReceiver((from, message) => { ownership.receive(from, message) })
    const process = { id, incarnation, clock, ownership }
    this.processes.set(id, process)
    ownership.start().catch(error => { this.violations.push(String(error)) })
    return process
  }

  /** Adds an instance to the list and starts a process on it. */
  add (id: string): void {
    this.instances = [...this.instances ?? [], entry(id)]
    this.start(id)
  }

  /** @returns the number of lines logged for an event */
  countLogged (name: string): number {
    return this.log.lines.filter(line => line.event.name === name).length
  }

  /** Ends a process abruptly, without a message to others. */
  kill (id: string): void {
    const process = this.processes.get(id)
    if (process === undefined) return
    process.clock.isDead = true
    this.processes.delete(id)
  }

  /** The platform's current list. */
  get instances (): Instance[] | null {
    return this.lists.at(-1)?.list ?? null
  }

  set instances (list: Instance[] | null) {
    this.lists.push({ at: this.simulation.time, list })
  }

  private listAt (lag: number): Instance[] | null {
    const time = this.simulation.time - lag
    return (this.lists.findLast(entry => entry.at <= time) ?? this.lists[0]!).list
  }

  node (id: string): Process {
    return this.processes.get(id)!
  }

  async run (duration: number): Promise<void> {
    await this.simulation.run(duration, () => { this.check() })
  }

  /** @returns ms until the condition holds, or `Infinity` when it does not within the limit */
  async until (condition: () => boolean, limit: number, step = 10): Promise<number> {
    const start = this.simulation.time
    while (!condition()) {
      if (this.simulation.time - start >= limit) return Infinity
      await this.run(step)
    }
    return this.simulation.time - start
  }

  admitters (resource: ResourceKey): string[] {
    return [...this.processes.values()].filter(process => process.ownership.canAdmit(resource)).map(process => process.id)
  }

  /** How often a resource got another owner than its last one. */
  get handOvers (): number {
    return this.store.handOvers
  }

  /** Whether exactly one node may admit for each resource. */
  isServed (): boolean {
    return this.resources.every(resource => this.admitters(resource).length === 1)
  }

  private updateLastReadable (value: string): void {
    this.lastRowText = value
    const parsed = parseAssignmentText(value)
    if (parsed.isOk()) this.lastReadable = parsed.value
  }

  /** Records nodes that may admit for a resource of another owner. Nodes at the table's version agree with it and are skipped. */
  private check (): void {
    const row = this.store.rows.get('assignment/main')
    if (row === undefined) return
    if (row.value !== this.lastRowText) this.updateLastReadable(row.value)
    for (const { incarnation, ownership } of this.processes.values()) {
      if (ownership.assignment.version === this.lastReadable.version || ownership.leaseLeft() === 0) continue
      for (const resource of this.resources) {
        if (this.lastReadable.owners[resource] === incarnation || !ownership.canAdmit(resource)) continue
        const { version } = ownership.assignment
        this.violations.push(`${this.simulation.time}: ${incarnation} may admit for ${resource} at version ${version}, the table is at version ${row.version}`)
      }
    }
  }
}

export function entry (id: string): Instance {
  return {
    id,
    role: 'entry',
    state: 'live',
    dataCentre: dataCentreOf(id),
    rack: 'r',
    address: { host: '127.0.0.1', port: 1 },
    resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 },
    connections: 0
  }
}

function dataCentreOf (id: string): string {
  return `dc${Number(id.slice(1)) % 4}`
}
