import { writeFileSync } from 'node:fs'
import { renderMatrix, singleCases } from './matrixPage.js'
import type { Outcome } from './matrixPage.js'
import { runCase } from './runCase.js'

const PAGE = new URL('../../../../../docs/matrix.md', import.meta.url)

const outcomes: Outcome[] = []
for (const options of singleCases()) outcomes.push({ options, result: await runCase(options) })
writeFileSync(PAGE, renderMatrix(outcomes))
