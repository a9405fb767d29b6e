import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'

/**
 * Guards against tasks that are lost, run twice or end in the wrong state when a fault hits one step between submission and
 * end. Injects every fault at every step, alone and in seeded pairs.
 */

const STEPS = ['submit', 'claim', 'placed', 'done', 'pending', 'failed', 'cancel job', 'cancelling', 'cancelled', 'close', 'read', 'list', 'report', 'start', 'renew', 'stop'] as const

type Step = typeof STEPS[number]

const FAULTS = ['death before', 'death after', 'pause before', 'pause after', 'answer lost', 'late'] as const

type Fault = typeof FAULTS[number]

interface Injection {
  step: Step
  fault: Fault
  /** Occurrence of the step at which the fault is injected, from 1. */
  occurrence: number
}

const PAUSE_MS = 2500
const RUN_TIMEOUT_MS = 40_000

interface Outcome {
  problems: string[]
  injected: number
}

async function runWithFaults (injections: Injection[], seed: number): Promise<Outcome> {
  const cell = new Cell({ seed, nodes: 3, workers: 3 })
  let injected = 0
  for (const injection of injections) installInjection(cell, injection, () => { injected++ })
  submitUntilAccepted(cell, 'b', 'batch', 'audio', ['run 400', 'run 500'])
  submitUntilAccepted(cell, 'g', 'gang', 'ledger', ['run 400', 'run 450', 'run 500'])
  submitUntilAccepted(cell, 'f', 'batch', 'audio', ['fail 20'])
  submitUntilAccepted(cell, 's', 'service', 'desk', ['serve'])
  cell.clock.schedule(1500, () => { cancelUntilAccepted(cell, 's') })
  const problems = new Set<string>()
  for (let waited = 0; waited < RUN_TIMEOUT_MS; waited += 100) {
    await cell.clock.advance(100)
    for (const violation of findViolations(cell)) problems.add(violation)
    if (waited > 3000 && cell.table.peek('open/').length === 0 && cell.table.peek('job/').length === 4) break
  }
  for (const problem of findWrongEndStates(cell)) problems.add(problem)
  for (const node of cell.nodes) node.gate.kill()
  return { problems: [...problems], injected }
}

function findWrongEndStates (cell: Cell): string[] {
  const expected: Record<string, string> = { b: 'done', g: 'done', f: 'failed', s: 'cancelled' }
  const wrong = readTasks(cell).filter(task => task.state !== expected[task.job]).map(task => `${task.job}/${task.index} is ${task.state}`)
  return [...wrong, ...cell.table.peek('open/').map(row => `${row.key} is left`), ...cell.table.peek('on/').map(row => `${row.key} is left`)]
}

/** Injects one fault into the first node that reaches the given occurrence of the step. */
function installInjection (cell: Cell, injection: Injection, onInjected: () => void): void {
  let remaining = injection.occurrence
  const addNode = cell.addNode.bind(cell)
  const arm = (node: ReturnType<Cell['addNode']>): ReturnType<Cell['addNode']> => {
    const inner = node.gate.inject
    node.gate.inject = (step, phase) => {
      const other = inner(step, phase)
      if (step !== injection.step || phase !== injectionPhase(injection.fault) || remaining <= 0) return other
      if (--remaining > 0) return other
      onInjected()
      return applyFault(cell, node.id, injection.fault)
    }
    return node
  }
  cell.addNode = () => arm(addNode())
  for (const node of cell.nodes) arm(node)
}

function injectionPhase (fault: Fault): 'before' | 'after' {
  return fault.endsWith('after') || fault === 'answer lost' ? 'after' : 'before'
}

function applyFault (cell: Cell, node: string, fault: Fault): 'lost' | 'late' | null {
  if (fault === 'answer lost') return 'lost'
  if (fault === 'late') return 'late'
  if (fault.startsWith('death')) cell.kill(node)
  else cell.pause(node, PAUSE_MS)
  return null
}

function submitUntilAccepted (cell: Cell, id: string, kind: string, className: string, commands: string[]): void {
  const retry = (): void => { cell.clock.schedule(200, () => { submitUntilAccepted(cell, id, kind, className, commands) }) }
  const retryTimer = cell.clock.schedule(4000, retry)
  cell.random.pick(cell.nodes).jobs.submit({ id, kind, class: className, tasks: commands.map(command => ({ command })) }).then(result => {
    retryTimer.cancel()
    if (result.isErr()) retry()
  }, retry)
}

function cancelUntilAccepted (cell: Cell, id: string): void {
  const retry = (): void => { cell.clock.schedule(200, () => { cancelUntilAccepted(cell, id) }) }
  const retryTimer = cell.clock.schedule(4000, retry)
  cell.random.pick(cell.nodes).jobs.cancel(id).then(result => {
    retryTimer.cancel()
    if (result.isErr() || result.value === null) retry()
  }, retry)
}

for (const step of STEPS) {
  test(`tasks survive every fault at step ${step}`, async () => {
    const failures: string[] = []
    let injected = 0
    for (const fault of FAULTS) {
      for (const occurrence of [1, 2, 3]) {
        const outcome = await runWithFaults([{ step, fault, occurrence }], occurrence)
        injected += outcome.injected
        failures.push(...outcome.problems.map(problem => `${fault} at ${step} ${occurrence}: ${problem}`))
      }
    }
    expect(failures).toEqual([])
    expect(injected).toBeGreaterThan(FAULTS.length - 1)
  })
}

const PAIR_GROUPS = 4
const PAIRS_PER_GROUP = 30

for (let group = 0; group < PAIR_GROUPS; group++) {
  test(`tasks survive pairs of faults, group ${group}`, async () => {
    const failures: string[] = []
    for (let number = 0; number < PAIRS_PER_GROUP; number++) {
      const seed = 1000 + group * PAIRS_PER_GROUP + number
      const pair = choosePair(seed)
      const outcome = await runWithFaults(pair, seed)
      failures.push(...outcome.problems.map(problem => `seed ${seed} ${JSON.stringify(pair)}: ${problem}`))
    }
    expect(failures).toEqual([])
  })
}

function choosePair (seed: number): Injection[] {
  const { random } = new Cell({ seed, nodes: 0, workers: 0 })
  const chooseInjection = (): Injection => ({ step: random.pick(STEPS), fault: random.pick(FAULTS), occurrence: 1 + random.integer(3) })
  return [chooseInjection(), chooseInjection()]
}
