import type { Instance, Random } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { FakeNetwork, NodeClock } from '@rattanstep/stand-ins'
import type { FakeWire, Simulation } from '@rattanstep/stand-ins'
import { Member } from '../../src/runtime/Member.js'
import { CallerRequest } from './CallerRequest.js'
import type { RequestPlan } from './CallerRequest.js'
import type { Endpoints } from './Endpoints.js'
import { createProcessPlatform } from './createProcessPlatform.js'
import type { CallListener, SharedPlatform } from './createProcessPlatform.js'
import type { InvariantChecker } from './InvariantChecker.js'

/** What the processes of a cell share. */
export interface Environment {
  simulation: Simulation
  wire: FakeWire
  platform: SharedPlatform
  endpoints: Endpoints
  /** Every worker that ever was. */
  workers: Map<string, Instance>
  checker: InvariantChecker
  random: Random
  rules: string
  onCall: (process: Process, call: string, worker: Instance | null) => void
  onDispatch: (process: Process, worker: string) => void
}

/** Milliseconds that a planned stop waits for what is handed over and what is in flight. */
const DRAIN_TIMEOUT_MS = 20_000

/** Milliseconds in which the balancer notices a planned stop. */
const DEREGISTRATION_DELAY_MS = 500

/** One simulated node process: the real member, with a caller's requests sent through its permits and keys. */
export class Process {
  readonly incarnation: string
  readonly clock: NodeClock
  readonly log = new MemoryLog()
  readonly member: Member
  readonly requests = new Set<CallerRequest>()
  /** Whether new requests are taken. */
  acceptsRequests = true
  leftGracefully = false

  /** @param options - name, life and clock rate of the process, and what it shares with others */
  constructor (readonly options: { id: string, incarnationNumber: number, rate: number, environment: Environment }) {
    const { id, incarnationNumber, rate, environment } = options
    const { simulation, wire, platform, random, rules } = environment
    this.incarnation = `${id}@${incarnationNumber}`
    this.clock = new NodeClock({ simulation, rate, offset: random.integer(1_000_000) })
    const network = new FakeNetwork({ wire, self: this.incarnation, clock: this.clock })
    const listener: CallListener = (call, worker) => { environment.onCall(this, call, worker) }
    this.member = new Member({
      incarnation: this.incarnation,
      cell: 'cell',
      dataCentre: 'north',
      peer: { host: '127.0.0.1', port: 1 },
      network,
      platform: createProcessPlatform(platform, this.clock, listener),
      clock: this.clock,
      random,
      log: this.log,
      metrics: new Metrics(),
      rules
    })
    this.member.start().catch(() => {})
  }

  /** @returns whether the process exists and is not stopped */
  get isUp (): boolean {
    return !this.clock.dead
  }

  /** @param plan - a caller's request that this node takes */
  accept (plan: RequestPlan): void {
    const request = new CallerRequest(this, plan)
    this.requests.add(request)
    request.run().catch((error: unknown) => { this.options.environment.checker.recordViolation(`a request failed: ${String(error)}`) })
  }

  /** Ends the process at once. Callers see their connections end. */
  kill (): void {
    if (this.clock.dead) return
    this.clock.dead = true
    for (const request of this.requests) request.disconnect()
    this.requests.clear()
  }

  /** @param duration - ms for which the process does nothing */
  pause (duration: number): void {
    if (this.clock.paused || this.clock.dead) return
    this.clock.paused = true
    this.options.environment.simulation.schedule(duration, () => { this.clock.resume() })
  }

  /** Planned stop, in the order of a real node. */
  async drain (): Promise<void> {
    const deadline = this.clock.now() + DRAIN_TIMEOUT_MS
    await Promise.race([this.member.handOver(), this.clock.sleep(DRAIN_TIMEOUT_MS)])
    await this.clock.sleep(DEREGISTRATION_DELAY_MS)
    this.acceptsRequests = false
    while (this.requests.size > 0 && this.clock.now() < deadline) await this.clock.sleep(20)
    if (this.requests.size > 0) this.options.environment.checker.recordViolation(`the planned stop of ${this.incarnation} cut ${this.requests.size} requests`)
    this.member.stop()
    this.leftGracefully = true
    this.options.environment.platform.instances.remove(this.options.id)
    this.kill()
  }
}
