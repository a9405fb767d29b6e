import { z } from 'zod'

const rowSchema = z.object({ text: z.string(), operation: z.string() })

/** Content of the row that holds the rules. */
export type RulesRow = z.infer<typeof rowSchema>

/**
 * @param row - content of the row
 * @returns its JSON text
 */
export function encodeRow (row: RulesRow): string {
  return JSON.stringify(row)
}

/**
 * @param value - JSON text of a row
 * @returns the operators' text, or `null` when the row has another shape
 */
export function decodeRow (value: string): string | null {
  try {
    const checked = rowSchema.safeParse(JSON.parse(value))
    return checked.success ? checked.data.text : null
  } catch {
    return null
  }
}
