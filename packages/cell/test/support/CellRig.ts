import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { AccessControl, Cell, RowReader } from '../../src/index.js'
import { createJob } from '../../src/runtime/createJob.js'
import type { Configuration, OpenJobLimits, Organisation, Route, Step, RequestOutcome, WorkerReport } from '../../src/index.js'
import { FakeAdvisor } from './FakeAdvisor.js'
import type { AdviceCondition } from './FakeAdvisor.js'
import { FakeLinkConnector } from './FakeLinks.js'
import type { FakeEndpoint } from './FakeLinks.js'
import { FakeStore, FakeTables } from './FakeStore.js'
import { FakeFleet, FakeWorkerClient } from './FakeWorkers.js'
import type { TaskBehaviour } from './FakeWorkers.js'
import { NodeClock } from './NodeClock.js'

/** A node of the rig with its fakes. */
export interface RigNode {
  name: string
  clock: NodeClock
  store: FakeStore
  workers: FakeWorkerClient
  advisor: FakeAdvisor
  log: MemoryLog
  cell: Cell
  access: AccessControl
  metrics: Metrics
  endpoint: FakeEndpoint
}

/** Decodes rows that contain a worker report as JSON. */
class JsonReader extends RowReader {
  override readWorker (_key: string, value: string): Result<WorkerReport, string> {
    return Ok(JSON.parse(value) as WorkerReport)
  }
}

/** Options of a rig. */
export interface RigOptions {
  /** Whether runs are stopped for more urgent work. */
  preempts?: boolean
  /** Whether nodes refuse jobs that would end too late. */
  refuses?: boolean
  /** What open jobs may take; by default, there is no bound. */
  limits?: Partial<OpenJobLimits> | ((node: string) => Partial<OpenJobLimits>)
  nodes?: number
  workers?: number
  /** Capacity of each worker in thousandths of a core. */
  cpu?: number
  behaviour?: (task: string) => TaskBehaviour
  route?: Partial<Route>
  /** Routes in addition to the first, which is named `r`. */
  others?: Array<Partial<Route> & { name: string }>
  /** Organisations of the first configuration; without any, callers need no keys. */
  organisations?: Organisation[]
  /** Returns the duration of a call to the advice service in ms. */
  advice?: (step: string, workers: number) => number
  /** Returns whether the advice service allows a worker to run a step; `born` is the start of the worker's incarnation. It gives no tickets for workers that are down. */
  allows?: (worker: string, born: number, step: string) => boolean
  /** Returns the condition of the advice service for a node, if it is disturbed. */
  adviceFault?: (node: string) => AdviceCondition | undefined
}

/** Several nodes of a cell with a fake clock, store, workers and links. */
export class CellRig {
  readonly clock = new FakeClock({ start: 1000 })
  readonly tables = new FakeTables()
  readonly fleet: FakeFleet
  readonly nodes: RigNode[] = []
  private readonly endpoints = new Map<string, FakeEndpoint>()
  private nextJob = 1
  /** Strength of nodes by name; 1 if not set. */
  readonly strengths = new Map<string, number>()

  constructor (private readonly options: RigOptions = {}) {
    const { nodes = 3, workers = 4, cpu = 4000, route, behaviour = () => ({ duration: 300, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) } = options
    this.fleet = new FakeFleet(this.clock, behaviour)
    this.fleet.list = { put: report => { this.putInstance(report) }, remove: id => { this.removeInstance(id) } }
    this.configure(1, route)
    for (let index = 0; index < workers; index++) this.addWorker(`w${index}`, cpu)
    for (let index = 0; index < nodes; index++) this.addNode(`n${index}`)
  }

  configure (version: number, route: Partial<Route> = {}, others = this.options.others ?? [], organisations = this.options.organisations): void {
    const configuration: Configuration = {
      version, routes: [{ name: 'r', ...route }, ...others].map(each => ({ host: 'h', prefix: '/', service: 's', priority: 0, maxAttempts: 2, stretch: 2, latencyObjective: 1000, ...each })), maxBody: 1000, ...(organisations === undefined ? {} : { organisations })
    }
    this.tables.put({ table: 'op', part: '', key: 'config' }, JSON.stringify(configuration))
  }

  addWorker (id: string, cpu = 4000, labels: string[] = []): void {
    const report: WorkerReport = { id, service: 's', address: `${id}:1`, dataCentre: 'd', state: 'ready', capacity: { cpu, memory: 100_000, accelerators: 0 }, labels, born: 1 }
    this.fleet.add(report)
    this.putInstance(report)
  }

  putInstance (report: WorkerReport): void {
    this.tables.put({ table: 'servers', part: '', key: report.id }, JSON.stringify(report))
  }

  /** Removes a worker from the list of instances; the worker itself continues. */
  removeInstance (id: string): void {
    this.tables.drop({ table: 'servers', part: '', key: id })
  }

  /** Changes the processor capacity that a worker reports, in thousandths of a core. */
  setCapacity (id: string, cpu: number): void {
    const worker = this.fleet.workers.get(id)!
    worker.setCapacity(cpu)
    this.putInstance(worker.report)
  }

  /** Starts a node, or a new process of a node that was killed. */
  addNode (name: string, strength = this.strengths.get(name) ?? 1): RigNode {
    this.strengths.set(name, strength)
    const { limits } = this.options
    const clock = new NodeClock(this.clock)
    const store = new FakeStore(this.tables, clock, this.clock)
    const workers = new FakeWorkerClient(this.fleet, clock)
    const advisor = new FakeAdvisor({ node: name, clock, fleet: this.fleet, duration: this.options.advice, allows: this.options.allows, fault: this.options.adviceFault })
    const log = new MemoryLog()
    const endpoint: FakeEndpoint = { clock, isSilenced: false, networkPart: '', inboundDelay: 0, links: new Set(), sentMessages: 0 }
    const address = `${name}:1`
    const cell = new Cell({
      node: name,
      dataCentre: 'd',
      strength: this.strengths.get(name) ?? 1,
      address,
      retention: 120_000,
      leaseMax: 10_000,
      preempts: this.options.preempts ?? false,
      refuses: this.options.refuses ?? false,
      store,
      workers,
      advisor,
      reader: new JsonReader(),
      connector: new FakeLinkConnector(endpoint, this.endpoints),
      limits: { waitingWrites: Infinity, waitingQueries: Infinity, ...(typeof limits === 'function' ? limits(name) : limits) },
      readConfiguration: value => value.startsWith('{') ? Ok(JSON.parse(value) as Configuration) : Err('the row is not a JSON object'),
      clock,
      log
    })
    endpoint.acceptLink = link => { cell.acceptLink(link) }
    this.endpoints.set(address, endpoint)
    const metrics = new Metrics()
    const access = new AccessControl({ configuration: () => cell.configuration, isConfirmed: () => cell.isConfigurationConfirmed, metrics })
    const node: RigNode = { name, clock, store, workers, advisor, log, cell, access, metrics, endpoint }
    const index = this.nodes.findIndex(each => each.name === name)
    if (index < 0) this.nodes.push(node)
    else this.nodes[index] = node
    cell.start()
    return node
  }

  /** Kills a process. The other ends of its links are closed. */
  kill (node: RigNode): void {
    node.endpoint.acceptLink = undefined
    for (const link of node.endpoint.links) link.close()
    node.clock.isDead = true
  }

  /** Kills a process as a power cut does: the other ends of its links stay open and get no messages. */
  powerOff (node: RigNode): void {
    node.endpoint.isSilenced = true
    node.clock.isDead = true
  }

  /** Cuts off some nodes and workers from all others and from the store. */
  cutOffZone (nodes: RigNode[], workers: string[]): void {
    for (const node of this.nodes) {
      const isInside = nodes.includes(node)
      node.endpoint.networkPart = isInside ? 'zone' : ''
      node.store.condition = isInside ? 'silent' : 'normal'
      for (const id of this.fleet.workers.keys()) if (workers.includes(id) !== isInside) node.workers.unreachable.add(id)
    }
  }

  /** Ends the cut of a zone. */
  healZone (): void {
    for (const { endpoint, store, workers } of this.nodes) {
      endpoint.networkPart = ''
      store.condition = 'normal'
      workers.unreachable.clear()
    }
  }

  /** @returns the running node that is the decider and has read the records */
  get decider (): RigNode | undefined {
    return this.nodes.find(node => !node.clock.isDead && node.cell.activeDecider?.isReady === true)
  }

  /** @returns number of messages that the nodes have sent each other */
  get messages (): number {
    return this.nodes.reduce((sum, node) => sum + node.endpoint.sentMessages, 0)
  }

  async run (duration: number): Promise<void> {
    await this.clock.advance(duration)
  }

  /** Advances the clock until a condition is met, and throws if that takes longer than `limit` ms. */
  async until (isMet: () => boolean, limit = 20_000): Promise<void> {
    const end = this.clock.now() + limit
    while (!isMet()) {
      if (this.clock.now() >= end) throw new Error(`the condition was not met within ${limit} ms`)
      await this.clock.advance(10)
    }
  }

  /** @returns id of the job that is submitted next */
  get nextId (): string {
    return this.nextJob.toString(16).padStart(16, '0')
  }

  /** Submits a job at a node, and advances the clock until the outcome is known. */
  async submit (node: RigNode, steps: Array<Partial<Step>>, route = 'r', organisation?: string): Promise<{ id: string, outcome: RequestOutcome }> {
    const id = this.nextId
    this.nextJob++
    const { routes, organisations = [] } = node.cell.configuration!
    const job = createJob(id, routes.find(each => each.name === route)!, { spec: 'x', steps: steps.map(stepOf) }, node.store.now(), organisations.find(({ name }) => name === organisation))
    const pending = node.cell.gateway.submit(job, this.clock.now() + 2000)
    let outcome: RequestOutcome | undefined
    pending.then(value => { outcome = value }, error => { throw error })
    await this.until(() => outcome !== undefined, 4000)
    return { id, outcome: outcome! }
  }

  /** @returns phase of a job as reported to callers of a node, or the kind of the outcome if there is no phase */
  async phase (node: RigNode, id: string): Promise<string> {
    let phase: string | undefined
    node.cell.gateway.phase(id).then(outcome => { phase = outcome.kind === 'phase' ? outcome.phase : outcome.kind }, error => { throw error })
    await this.until(() => phase !== undefined, 4000)
    return phase!
  }

  /** @returns phases of jobs as reported to callers of the decider, or of any running node if there is no decider */
  async phases (ids: string[]): Promise<string[]> {
    const phases: string[] = []
    for (const id of ids) phases.push(await this.phase(this.decider ?? this.nodes.find(node => !node.clock.isDead)!, id))
    return phases
  }
}

/** @returns a rig in which a decider is active and the other nodes follow it */
export async function createSteadyRig (options: RigOptions = {}): Promise<CellRig> {
  const rig = new CellRig(options)
  await rig.until(() => rig.decider !== undefined)
  await rig.run(500)
  return rig
}

/** @returns a step with the given properties; the defaults are one task that needs one core */
export function stepOf (step: Partial<Step>): Step {
  return { count: 1, size: { cpu: 1000, memory: 100, accelerators: 0 }, estimate: 300, after: [], checkpoints: false, gang: false, sameRack: false, lasting: false, filling: false, ...step }
}
