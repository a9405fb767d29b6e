import type { Delivery } from '@rattanstep/stand-ins'
import type { FaultName, Step } from './matrixTable.js'
import type { Process } from './Process.js'
import { Scenario } from './Scenario.js'
import type { CaseResult } from './Scenario.js'
import { strike } from './strike.js'
import type { Place } from './strike.js'

/** One fault at one step. */
export interface Blow {
  step: Step
  fault: FaultName
}

/** What one case of the matrix is made of. */
export interface MatrixCase {
  blows: Blow[]
  seed: number
}

/** What a case gave, with the number of blows that found their step. */
export type MatrixResult = CaseResult & { struck: number }

const ORDINARY: Delivery = { copies: 1, extraDelay: 0 }

/** Of how many occurrences of a step the struck one is drawn, for steps that happen seldom; 8 for the others. */
const OCCURRENCES: Partial<Record<Step, number>> = {
  'message rules': 1,
  'message fetch': 1,
  'message vote-request': 1,
  'message vote': 1,
  'message key-transfer': 1,
  'message permits-request': 2,
  'message refuse': 4,
  'call commit rules': 2,
  'call commit assignment': 2,
  'call commit job': 2,
  'call commit task': 3,
  'call start task': 3,
  'call renew task': 3,
  'call stop task': 1
}

const USUAL_OCCURRENCES = 8

/** Most by which a clock's rate differs from true time. */
const DRIFT = 0.01

/**
 * Runs the whole work of a cell while each blow strikes once, at a drawn occurrence of its step.
 *
 * @param options - blows and seed
 * @returns breaches and counts
 */
export async function runCase (options: MatrixCase): Promise<MatrixResult> {
  const scenario = new Scenario({ seed: options.seed, drift: DRIFT })
  const { cluster } = scenario
  const { surroundings } = cluster
  const waiting = new Map(options.blows.map(blow => [blow, 1 + cluster.random.integer(OCCURRENCES[blow.step] ?? USUAL_OCCURRENCES)]))
  let working = false
  const reach = (step: Step, place: Place): Delivery => {
    if (!working) return ORDINARY
    for (const [blow, left] of waiting) {
      if (blow.step !== step) continue
      waiting.set(blow, left - 1)
      if (left > 1) continue
      waiting.delete(blow)
      return strike(cluster, blow.fault, place)
    }
    return ORDINARY
  }
  const find = (incarnation: string): Process => cluster.processes.find(process => process.incarnation === incarnation)!
  surroundings.wire.intercept = (from, to, message) => reach(`message ${message.kind}`, { sender: find(from), receiver: find(to), worker: null })
  surroundings.onCall = (sender, call, worker) => { reach(`call ${call}`, { sender, receiver: null, worker }) }
  const { onDispatch } = surroundings
  surroundings.onDispatch = (sender, worker) => {
    onDispatch(sender, worker)
    reach('dispatch', { sender, receiver: null, worker: surroundings.workers.get(worker)! })
  }
  await scenario.start()
  working = true
  for (const { step } of options.blows) provoke(scenario, step)
  await scenario.work()
  working = false
  const result = await scenario.finish()
  return { ...result, struck: options.blows.length - waiting.size }
}

/** Brings about what a step does not happen without. */
function provoke (scenario: Scenario, step: Step): void {
  const { cluster } = scenario
  if (step === 'message vote-request' || step === 'message vote') {
    strike(cluster, 'sender dies', { sender: cluster.random.pick(cluster.open()), receiver: null, worker: null })
  }
  if (step === 'message refuse') scenario.burst()
  if (step === 'message rules' || step === 'message fetch') scenario.changeRulesOften()
}
