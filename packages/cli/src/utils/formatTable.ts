/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - cells of each row
 * @returns one line for each row
 */
export function formatTable (rows: string[][]): string[] {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
