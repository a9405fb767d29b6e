import type { Report } from '../utils/markdown.js'

/** Options of a scenario. */
export interface ScenarioOptions {
  seeds: number[]
  /** Milliseconds of simulated arrivals. */
  duration: number
  /** Names of the workloads. */
  workloads: string[]
  /** Called with a line of text when a step begins. */
  progress: (line: string) => void
}

/** Results of a scenario. */
export interface Findings {
  reports: Report[]
  /** SVG elements. */
  plots: string[]
}

/** A scenario of the benchmark. */
export type Scenario = (effort: ScenarioOptions) => Findings
