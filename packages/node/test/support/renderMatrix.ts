import { nameCase, singleCases } from './cases.js'
import { FAULTS, STEPS, whyNotApplicable } from './matrixTable.js'
import type { Area, FaultName, Step } from './matrixTable.js'
import type { MatrixCase, MatrixResult } from './runCase.js'

/** What a cell of the page says. */
export type CellText = 'holds' | 'n/a' | 'red'

/** Outcome of one single case. */
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
 * @param outcomes - outcomes of all single cases
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
    'Written by `npm run docs:matrix`; do not edit. Each cell is one case: a simulated cell of three nodes and three workers does',
    'its whole work (requests with and without keys, jobs, racing operators, a joining node, a leaving worker, a planned stop)',
    'while the fault of the column strikes once at the step of the row. The code under test is the real code of a node from its',
    'messages inward; network, platform, workers and clocks are fakes. One command replays a case:',
    '`RATTANSTEP_CASE="seed 1017" npm run test:matrix`.',
    '',
    '- **holds**: the fault struck and the witness saw no breach of what must always hold',
    '- **n/a**: no message passes between nodes at this step, so that there is nothing to lose, delay or receive',
    '- **red**: a breach was seen, or the fault did not strike',
    '',
    `Cases: ${outcomes.length}, of which ${failed.length} red. Requests: ${sums.requests}; runs: ${sums.runs}; answered run: ${sums.run}, not run: ${sums['not-run']}, unknown: ${sums.unknown}, cut by a death: ${sums.cut}.`,
    '',
    ...(Object.keys(STEPS) as Area[]).flatMap(area => renderArea(area, outcomes)),
    ...failed.map(({ options, result }) => `- red: ${nameCase(options)}: ${result.violations.join('; ')}`)
  ].join('\n').trimEnd() + '\n'
}

/** @returns a single case for each applicable cell */
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
