/**
 * Reads of JSON whose shape another version of a node may have changed.
 */

/** A JSON object. */
export type JsonObject = Record<string, unknown>

/**
 * @param value - any JSON value
 * @returns the object, or an empty one
 */
export function toObject (value: unknown): JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : {}
}

/**
 * @param value - any JSON value
 * @returns the objects of a list, or none
 */
export function toObjects (value: unknown): JsonObject[] {
  return Array.isArray(value) ? value.map(item => toObject(item)) : []
}

/**
 * @param value - any JSON value
 * @param fallback - used when the value is neither text nor number (default empty)
 * @returns the value as text
 */
export function toText (value: unknown, fallback = ''): string {
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean' ? String(value) : fallback
}
