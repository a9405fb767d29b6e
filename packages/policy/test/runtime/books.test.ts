import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { addResources, fitsResources, NO_RESOURCES } from '@rattanstep/core'
import type { Permit, Resources } from '@rattanstep/core'
import type { Admission, Decision, WorkerRoom } from '../../src/index.js'
import { admission, ask, rule, worker } from './fixtures.js'

const BOUND = 20_000
const FRONTS = ['f0', 'f1', 'f2']
const RULES = [
  rule('urgent', { priority: 90, reserve: 0.2, bound: BOUND, patience: 500 }),
  rule('quick', { bound: BOUND, patience: 300, ageing: 100 }),
  rule('batch', { priority: 10, most: 0.6, bound: BOUND, kind: 'batch', expected: 5000 })
]
const SHAPES: Resources[] = [
  { slots: 1, cores: 1, memory: 512, accelerators: 0 },
  { slots: 1, cores: 0.3, memory: 3000, accelerators: 0 },
  { slots: 2, cores: 3, memory: 100, accelerators: 1 }
]
const TOTALS: Resources[] = [
  { slots: 8, cores: 6, memory: 8192, accelerators: 1 },
  { slots: 4, cores: 16, memory: 4096, accelerators: 0 },
  { slots: 3, cores: 4, memory: 65_536, accelerators: 2 }
]
const CONNECTIONS = [4, 60, 2]

/** What really runs, kept apart from the code under test. */
interface Run {
  permit: Permit
  front: string
  startedAt: number
  /** Whether the owner under test was told of it or granted it. */
  known: boolean
}

class Cell {
  now = 0
  readonly runs: Run[] = []
  readonly holds = new Map<string, { worker: string, resources: Resources }>()
  readonly owned = new Set<string>()
  readonly node: Admission = admission(RULES)
  private asks = 0

  room (index: number): WorkerRoom {
    return worker(`w${index}`, { resources: TOTALS[index]!, connections: CONNECTIONS[index]! })
  }

  own (index: number): void {
    const id = `w${index}`
    if (this.owned.has(id)) return
    this.owned.add(id)
    this.node.addWorker(this.room(index), this.now, TOTALS[index]!)
  }

  /** A request, of one slot, that the previous owner admitted and that the new one does not know of. */
  hide (index: number, shape: number, front: string): void {
    const id = `w${index}`
    if (this.owned.has(id) || !this.fits(index, SHAPES[shape]!)) return
    const permit = { permit: `old:${this.asks++}`, worker: id, class: 'quick', caller: 'c', team: '', resources: SHAPES[shape]!, age: 0 }
    this.runs.push({ permit, front, startedAt: this.now, known: false })
  }

  ask (shape: number, className: string, front: string): void {
    const id = `a${this.asks++}`
    this.take(this.node.ask(ask(id, { class: className, caller: `c${this.asks % 3}`, resources: SHAPES[shape]! }), front, this.now))
  }

  /** Ends a run; a lost front's end is not told to the owner. */
  end (pick: number, told: boolean): void {
    const run = this.runs[pick % Math.max(1, this.runs.length)]
    if (run === undefined || !run.known) return
    this.runs.splice(this.runs.indexOf(run), 1)
    if (!told) return
    const { permit, worker: id } = run.permit
    this.take(this.node.release({ permit, worker: id, ending: pick % 4 === 0 ? 'failed' : 'completed', serviceTime: 5 }, run.front, this.now))
  }

  tell (front: string): void {
    const runs = this.runs.filter(run => run.front === front && this.owned.has(run.permit.worker))
    for (const run of runs) run.known = true
    this.node.renew(front, runs.map(run => ({ ...run.permit, age: this.now - run.startedAt })), this.now)
  }

  confirm (index: number): void {
    for (const front of FRONTS) this.tell(front)
    this.take(this.node.confirm(`w${index}`, this.now))
  }

  report (index: number): void {
    const id = `w${index}`
    const requests = this.runs.filter(run => run.permit.worker === id).length
    const tasks = [...this.holds.values()].filter(hold => hold.worker === id)
      .reduce((sum, hold) => addResources(sum, hold.resources), NO_RESOURCES)
    this.take(this.node.reported(id, { requests, lag: 0, tasks }, this.now))
  }

  hold (index: number, shape: number): void {
    const id = `h${this.asks++}`
    const held = this.node.hold(`w${index}`, SHAPES[shape]!, 'batch', '', id, this.now)
    if (held) this.holds.set(id, { worker: `w${index}`, resources: SHAPES[shape]! })
  }

  unhold (pick: number): void {
    const id = [...this.holds.keys()][pick % Math.max(1, this.holds.size)]
    if (id === undefined) return
    this.holds.delete(id)
    this.take(this.node.releaseHold(id, this.now))
  }

  pass (duration: number): void {
    this.now += duration
    for (let index = this.runs.length - 1; index >= 0; index--) {
      if (this.now - this.runs[index]!.startedAt >= BOUND) this.runs.splice(index, 1)
    }
    this.take(this.node.tick(this.now))
  }

  remove (index: number): void {
    this.owned.delete(`w${index}`)
    this.take(this.node.removeWorker(`w${index}`, this.now))
  }

  take (decisions: Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'refuse') continue
      const { permit, worker: id, ask: { resources, caller, team } } = decision
      const entry = { permit, worker: id, class: decision.ask.class, caller, team, resources, age: 0 }
      this.runs.push({ permit: entry, front: decision.front, startedAt: this.now, known: true })
    }
  }

  overfilled (): string[] {
    return TOTALS.map((_, index) => index).filter(index => !this.fits(index, NO_RESOURCES)).map(index => `w${index}`)
  }

  private fits (index: number, more: Resources): boolean {
    const id = `w${index}`
    const runs = this.runs.filter(run => run.permit.worker === id)
    const held = [...this.holds.values()].filter(hold => hold.worker === id)
    const used = [...runs.map(run => run.permit.resources), ...held.map(hold => hold.resources)].reduce(addResources, more)
    return fitsResources(used, TOTALS[index]!) && runs.length + more.slots <= CONNECTIONS[index]!
  }
}

const index = fc.nat(2)
const pick = fc.nat(1000)
const front = fc.constantFrom(...FRONTS)
type Step = (cell: Cell) => void
const ASK = fc.tuple(index, fc.constantFrom('urgent', 'quick', 'batch'), front).map((args): Step => cell => cell.ask(...args))
const HIDE = fc.tuple(index, fc.nat(1), front).map((args): Step => cell => cell.hide(...args))
const STEPS: Array<fc.Arbitrary<Step>> = [
  HIDE,
  fc.tuple(pick, fc.boolean()).map(args => cell => cell.end(...args)),
  index.map(arg => cell => cell.own(arg)),
  index.map(arg => cell => cell.confirm(arg)),
  index.map(arg => cell => cell.report(arg)),
  front.map(arg => cell => cell.tell(arg)),
  front.map(arg => cell => cell.node.frontLost(arg, cell.now)),
  fc.tuple(index, index).map(args => cell => cell.hold(...args)),
  pick.map(arg => cell => cell.unhold(arg)),
  fc.nat(9000).map(arg => cell => cell.pass(arg)),
  index.map(arg => cell => cell.remove(arg)),
  fc.tuple(pick, front).map(([id, name]) => cell => cell.take(cell.node.cancel([`unknown${id}`], name, cell.now)))
]

test('no sequence of calls gives a worker more than it holds', () => {
  const before = fc.array(HIDE, { maxLength: 15 })
  const step = fc.oneof({ arbitrary: ASK, weight: STEPS.length }, ...STEPS.map(arbitrary => ({ arbitrary, weight: 1 })))
  const sequences = fc.array(step, { minLength: 80, maxLength: 200 })
  fc.assert(fc.property(before, sequences, (first, steps) => {
    const cell = new Cell()
    for (const step of [...first, ...steps]) {
      step(cell)
      expect(cell.overfilled()).toEqual([])
    }
  }), { seed: 20_261_204, numRuns: 2000 })
})
