import { z } from 'zod'

const rowSchema = z.object({ text: z.string(), operation: z.string() })

/** Content of the table row that stores the rules: the text, and the identifier of the operation that wrote it. */
export type RulesRow = z.infer<typeof rowSchema>

/**
 * @param row - content of the row
 * @returns the content as JSON
 */
export function encodeRow (row: RulesRow): string {
  return JSON.stringify(row)
}

/**
 * @param value - value of the stored row
 * @returns the rules text, or `null` when the value is not JSON or does not match the schema
 */
export function decodeRow (value: string): string | null {
  try {
    const checked = rowSchema.safeParse(JSON.parse(value))
    return checked.success ? checked.data.text : null
  } catch {
    return null
  }
}
