import type { Report } from '../utils/markdown.js'

/** Options of a scenario. */
export interface ScenarioOptions {
  seeds: number[]
  /** Milliseconds of simulated arrivals. */
  duration: number
  /** Names of the workloads. */
  workloads: string[]
  /** Called with a line of text when the simulation of one configuration starts. */
  progress: (line: string) => void
}

/** Results of a scenario. */
export interface Findings {
  reports: Report[]
  /** Plots as SVG elements. */
  plots: string[]
}

/** A scenario of the benchmark. */
export type Scenario = (options: ScenarioOptions) => Findings
