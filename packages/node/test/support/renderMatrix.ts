import { nameCase, singleCases } from './cases.js'
import { FAULTS, STEPS, whyNotApplicable } from './matrixTable.js'
import type { Area, FaultName, Step } from './matrixTable.js'
import type { MatrixCase, MatrixResult } from './runCase.js'

/** Content of a cell of the page. */
export type CellText = 'holds' | 'n/a' | 'red'

/** A case with one fault, and its result. */
export interface CaseOutcome {
  options: MatrixCase
  result: MatrixResult
}

const AREA_TITLES: Record<Area, string> = {
  request: 'Requests',
  keys: 'Idempotency keys',
  ownership: 'Ownership of workers',
  configuration: 'Rules in force',
  tasks: 'Jobs and tasks'
}

/**
 * Renders the page of the fault matrix.
 *
 * @param outcomes - results of all cases with one fault
 * @returns the page in Markdown
 */
export function renderMatrix (outcomes: CaseOutcome[]): string {
  const sums = { requests: 0, runs: 0, run: 0, 'not-run': 0, unknown: 0, cut: 0 }
  for (const { result } of outcomes) {
    for (const key of Object.keys(sums) as Array<keyof typeof sums>) sums[key] += result.counts[key]
  }
  const failed = outcomes.filter(({ result }) => !hasPassed(result))
  return [
    '# Fault matrix',
    '',
    'Written by `npm run docs:matrix`; do not edit. Each cell is one case: a simulated cell of three nodes and three workers runs',
    'its whole workload (requests with and without keys, jobs, racing operators, a joining node, a leaving worker, a planned stop)',
    'while the fault of the column is injected once at the step of the row. The code under test is the real code of a node from its',
    'messages inward; network, platform, workers and clocks are simulated. One command replays a case:',
    '`RATTANSTEP_CASE="seed 1017" npm run test:matrix`.',
    '',
    '- **holds**: the fault was injected and no invariant was violated',
    '- **n/a**: no message passes between nodes at this step, so there is nothing to lose, delay or receive',
    '- **red**: an invariant was violated, or the fault was not injected',
    '',
    `Cases: ${outcomes.length}, of which ${failed.length} red. Requests: ${sums.requests}; runs: ${sums.runs}; answered run: ${sums.run}, not run: ${sums['not-run']}, unknown: ${sums.unknown}, cut by the death of a node: ${sums.cut}.`,
    '',
    ...(Object.keys(STEPS) as Area[]).flatMap(area => renderArea(area, outcomes)),
    ...failed.map(({ options, result }) => `- red: ${nameCase(options)}: ${result.violations.join('; ')}`)
  ].join('\n').trimEnd() + '\n'
}

/** Creates a case with one fault for each applicable cell of the page. */
export { singleCases }

function renderArea (area: Area, outcomes: CaseOutcome[]): string[] {
  return [
    `## ${AREA_TITLES[area]}`,
    '',
    `| step | ${FAULTS.join(' | ')} |`,
    `| --- |${' --- |'.repeat(FAULTS.length)}`,
    ...STEPS[area].map(step => `| ${step} | ${FAULTS.map(fault => renderCell(step, fault, outcomes)).join(' | ')} |`),
    ''
  ]
}

function renderCell (step: Step, fault: FaultName, outcomes: CaseOutcome[]): CellText {
  if (whyNotApplicable(step, fault) !== null) return 'n/a'
  const found = outcomes.find(({ options: { injections: [injection] } }) => injection?.step === step && injection.fault === fault)
  return found !== undefined && hasPassed(found.result) ? 'holds' : 'red'
}

function hasPassed ({ violations, injectedCount }: MatrixResult): boolean {
  return violations.length === 0 && injectedCount === 1
}
