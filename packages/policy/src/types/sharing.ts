/** Resources of tasks, workers or organisations. */
export interface ResourceVector {
  /** Thousandths of a core. */
  cpu: number
  /** MB. */
  memory: number
  accelerators: number
}
