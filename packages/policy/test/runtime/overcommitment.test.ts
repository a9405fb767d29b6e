import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { addResources, fitsResources, NO_RESOURCES } from '@rattanstep/core'
import type { Permit, Resources } from '@rattanstep/core'
import type { Admission, Decision, WorkerDescription } from '../../src/index.js'
import { createAdmission, createAsk, createRule, createWorker } from './fixtures.js'

const BOUND_MS = 20_000
const FRONTS = ['f0', 'f1', 'f2']
const RULES = [
  createRule('urgent', { priority: 90, reserve: 0.2, bound: BOUND_MS, patience: 500 }),
  createRule('quick', { bound: BOUND_MS, patience: 300, ageing: 100 }),
  createRule('batch', { priority: 10, most: 0.6, bound: BOUND_MS, kind: 'batch', expected: 5000 })
]
const REQUEST_SIZES: Resources[] = [
  { slots: 1, cores: 1, memory: 512, accelerators: 0 },
  { slots: 1, cores: 0.3, memory: 3000, accelerators: 0 },
  { slots: 2, cores: 3, memory: 100, accelerators: 1 }
]
const WORKER_SIZES: Resources[] = [
  { slots: 8, cores: 6, memory: 8192, accelerators: 1 },
  { slots: 4, cores: 16, memory: 4096, accelerators: 0 },
  { slots: 3, cores: 4, memory: 65_536, accelerators: 2 }
]
const CONNECTION_LIMITS = [4, 60, 2]

/** A request that really runs, tracked independently of the code under test. */
interface SimulatedRun {
  permit: Permit
  front: string
  startedAt: number
  /** Whether the owner under test granted it or has received it in a list of permits. */
  reported: boolean
}

/** An owner under test, with the runs and holds that its workers really have. */
class SimulatedOwner {
  now = 0
  readonly runs: SimulatedRun[] = []
  readonly holds = new Map<string, { worker: string, resources: Resources }>()
  readonly owned = new Set<string>()
  readonly admission: Admission = createAdmission(RULES)
  private asks = 0

  describeWorker (index: number): WorkerDescription {
    return createWorker(`w${index}`, { resources: WORKER_SIZES[index]!, connections: CONNECTION_LIMITS[index]! })
  }

  addWorker (index: number): void {
    const id = `w${index}`
    if (this.owned.has(id)) return
    this.owned.add(id)
    this.admission.addWorker(this.describeWorker(index), this.now, WORKER_SIZES[index]!)
  }

  /** Adds a request of one slot that the previous owner admitted and that the owner under test does not know of. */
  addUnknownRun (index: number, size: number, front: string): void {
    const id = `w${index}`
    if (this.owned.has(id) || !this.fits(index, REQUEST_SIZES[size]!)) return
    const permit = { permit: `old:${this.asks++}`, worker: id, class: 'quick', caller: 'c', team: '', resources: REQUEST_SIZES[size]!, age: 0 }
    this.runs.push({ permit, front, startedAt: this.now, reported: false })
  }

  ask (size: number, className: string, front: string): void {
    const id = `a${this.asks++}`
    this.applyDecisions(this.admission.ask(createAsk(id, { class: className, caller: `c${this.asks % 3}`, resources: REQUEST_SIZES[size]! }), front, this.now))
  }

  /**
   * Ends a run.
   *
   * @param choice - selects the run and its ending
   * @param reported - whether the owner receives the release; a lost front sends none
   */
  endRun (choice: number, reported: boolean): void {
    const run = this.runs[choice % Math.max(1, this.runs.length)]
    if (run === undefined || !run.reported) return
    this.runs.splice(this.runs.indexOf(run), 1)
    if (!reported) return
    const { permit, worker: id } = run.permit
    this.applyDecisions(this.admission.release({ permit, worker: id, ending: choice % 4 === 0 ? 'failed' : 'completed', serviceTime: 5 }, run.front, this.now))
  }

  listPermits (front: string): void {
    const runs = this.runs.filter(run => run.front === front && this.owned.has(run.permit.worker))
    for (const run of runs) run.reported = true
    this.admission.renew(front, runs.map(run => ({ ...run.permit, age: this.now - run.startedAt })), this.now)
  }

  confirm (index: number): void {
    for (const front of FRONTS) this.listPermits(front)
    this.applyDecisions(this.admission.confirm(`w${index}`, this.now))
  }

  report (index: number): void {
    const id = `w${index}`
    const requests = this.runs.filter(run => run.permit.worker === id).length
    const tasks = [...this.holds.values()].filter(hold => hold.worker === id)
      .reduce((sum, hold) => addResources(sum, hold.resources), NO_RESOURCES)
    this.applyDecisions(this.admission.applyReport(id, { requests, lag: 0, tasks }, this.now))
  }

  hold (index: number, size: number): void {
    const id = `h${this.asks++}`
    const held = this.admission.hold(`w${index}`, REQUEST_SIZES[size]!, 'batch', '', id, this.now)
    if (held) this.holds.set(id, { worker: `w${index}`, resources: REQUEST_SIZES[size]! })
  }

  releaseHold (choice: number): void {
    const id = [...this.holds.keys()][choice % Math.max(1, this.holds.size)]
    if (id === undefined) return
    this.holds.delete(id)
    this.applyDecisions(this.admission.releaseHold(id, this.now))
  }

  advance (duration: number): void {
    this.now += duration
    for (let index = this.runs.length - 1; index >= 0; index--) {
      if (this.now - this.runs[index]!.startedAt >= BOUND_MS) this.runs.splice(index, 1)
    }
    this.applyDecisions(this.admission.tick(this.now))
  }

  removeWorker (index: number): void {
    this.owned.delete(`w${index}`)
    this.applyDecisions(this.admission.removeWorker(`w${index}`, this.now))
  }

  applyDecisions (decisions: Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'refuse') continue
      const { permit, worker: id, ask: { resources, caller, team } } = decision
      const entry = { permit, worker: id, class: decision.ask.class, caller, team, resources, age: 0 }
      this.runs.push({ permit: entry, front: decision.front, startedAt: this.now, reported: true })
    }
  }

  overcommitted (): string[] {
    return WORKER_SIZES.map((_, index) => index).filter(index => !this.fits(index, NO_RESOURCES)).map(index => `w${index}`)
  }

  private fits (index: number, additional: Resources): boolean {
    const id = `w${index}`
    const runs = this.runs.filter(run => run.permit.worker === id)
    const held = [...this.holds.values()].filter(hold => hold.worker === id)
    const used = [...runs.map(run => run.permit.resources), ...held.map(hold => hold.resources)].reduce(addResources, additional)
    return fitsResources(used, WORKER_SIZES[index]!) && runs.length + additional.slots <= CONNECTION_LIMITS[index]!
  }
}

const index = fc.nat(2)
const choice = fc.nat(1000)
const front = fc.constantFrom(...FRONTS)
type Step = (owner: SimulatedOwner) => void
const ADD_ASK = fc.tuple(index, fc.constantFrom('urgent', 'quick', 'batch'), front).map((args): Step => owner => owner.ask(...args))
const ADD_UNKNOWN_RUN = fc.tuple(index, fc.nat(1), front).map((args): Step => owner => owner.addUnknownRun(...args))
const STEPS: Array<fc.Arbitrary<Step>> = [
  ADD_UNKNOWN_RUN,
  fc.tuple(choice, fc.boolean()).map(args => owner => owner.endRun(...args)),
  index.map(arg => owner => owner.addWorker(arg)),
  index.map(arg => owner => owner.confirm(arg)),
  index.map(arg => owner => owner.report(arg)),
  front.map(arg => owner => owner.listPermits(arg)),
  front.map(arg => owner => owner.admission.handleFrontLoss(arg, owner.now)),
  fc.tuple(index, index).map(args => owner => owner.hold(...args)),
  choice.map(arg => owner => owner.releaseHold(arg)),
  fc.nat(9000).map(arg => owner => owner.advance(arg)),
  index.map(arg => owner => owner.removeWorker(arg)),
  fc.tuple(choice, front).map(([id, name]) => owner => owner.applyDecisions(owner.admission.cancel([`unknown${id}`], name, owner.now)))
]

// An owner overcommits a worker when it does not count everything that runs there, such as work with permits of a previous
// owner or of a lost front, or with permits that are released late. Random sequences of calls are checked against an
// independent count of the runs and holds.
test('no sequence of calls admits more to a worker than it has', () => {
  const before = fc.array(ADD_UNKNOWN_RUN, { maxLength: 15 })
  const step = fc.oneof({ arbitrary: ADD_ASK, weight: STEPS.length }, ...STEPS.map(arbitrary => ({ arbitrary, weight: 1 })))
  const sequences = fc.array(step, { minLength: 80, maxLength: 200 })
  fc.assert(fc.property(before, sequences, (first, steps) => {
    const owner = new SimulatedOwner()
    for (const step of [...first, ...steps]) {
      step(owner)
      expect(owner.overcommitted()).toEqual([])
    }
  }), { seed: 20_261_204, numRuns: 2000 })
})
