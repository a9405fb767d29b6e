import type { Report } from '../utils/markdown.js'

/** How long and with which seeds a scenario is measured. */
export interface ScenarioOptions {
  seeds: number[]
  /** Milliseconds of simulated arrivals. */
  duration: number
  /** Names of desks. */
  workloads: string[]
  /** Called with a line of progress. */
  progress: (line: string) => void
}

/** What a scenario gives. */
export interface Findings {
  reports: Report[]
  /** SVG elements. */
  plots: string[]
}

/** A scenario of the benchmark. */
export type Scenario = (effort: ScenarioOptions) => Findings
