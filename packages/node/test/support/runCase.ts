import type { Carriage } from '@rattanstep/stand-ins'
import type { FaultName, Step } from './matrixTable.js'
import type { Process } from './Process.js'
import { Scenario } from './Scenario.js'
import type { CaseResult } from './Scenario.js'
import { injectFault } from './injectFault.js'
import type { FaultTarget } from './injectFault.js'

/** One fault at one step. */
export interface FaultInjection {
  step: Step
  fault: FaultName
}

/** What one case of the matrix is made of. */
export interface MatrixCase {
  injections: FaultInjection[]
  seed: number
}

/** What a case gave, with the number of blows that found their step. */
export type MatrixResult = CaseResult & { injectedCount: number }

const UNCHANGED: Carriage = { copies: 1, extraDelay: 0 }

/** Of how many occurrences of a step the struck one is drawn, for steps that happen seldom; 8 for the others. */
const OCCURRENCES_BY_STEP: Partial<Record<Step, number>> = {
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

const DEFAULT_OCCURRENCES = 8

/** Most by which a clock's rate differs from true time. */
const MAX_DRIFT = 0.01

/**
 * Runs the whole work of a cell while each blow strikes once, at a drawn occurrence of its step.
 *
 * @param options - blows and seed
 * @returns breaches and counts
 */
export async function runCase (options: MatrixCase): Promise<MatrixResult> {
  const scenario = new Scenario({ seed: options.seed, drift: MAX_DRIFT })
  const { cluster } = scenario
  const { environment } = cluster
  const pending = new Map(options.injections.map(injection => [injection, 1 + cluster.random.integer(OCCURRENCES_BY_STEP[injection.step] ?? DEFAULT_OCCURRENCES)]))
  let isWorking = false
  const injectAt = (step: Step, target: FaultTarget): Carriage => {
    if (!isWorking) return UNCHANGED
    for (const [injection, left] of pending) {
      if (injection.step !== step) continue
      pending.set(injection, left - 1)
      if (left > 1) continue
      pending.delete(injection)
      return injectFault(cluster, injection.fault, target)
    }
    return UNCHANGED
  }
  const findProcess = (incarnation: string): Process => cluster.processes.find(process => process.incarnation === incarnation)!
  environment.wire.intercept = (from, to, message) => injectAt(`message ${message.kind}`, { sender: findProcess(from), receiver: findProcess(to), worker: null })
  environment.onCall = (sender, call, worker) => { injectAt(`call ${call}`, { sender, receiver: null, worker }) }
  const { onDispatch } = environment
  environment.onDispatch = (sender, worker) => {
    onDispatch(sender, worker)
    injectAt('dispatch', { sender, receiver: null, worker: environment.workers.get(worker)! })
  }
  await scenario.start()
  isWorking = true
  for (const { step } of options.injections) triggerStep(scenario, step)
  await scenario.runWorkload()
  isWorking = false
  const result = await scenario.recoverAndCheck()
  return { ...result, injectedCount: options.injections.length - pending.size }
}

/** Brings about what a step does not happen without. */
function triggerStep (scenario: Scenario, step: Step): void {
  const { cluster } = scenario
  if (step === 'message vote-request' || step === 'message vote') {
    injectFault(cluster, 'sender dies', { sender: cluster.random.pick(cluster.openProcesses()), receiver: null, worker: null })
  }
  if (step === 'message refuse') scenario.sendBurst()
  if (step === 'message rules' || step === 'message fetch') scenario.changeRulesOften()
}
