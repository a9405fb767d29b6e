import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const packages = fileURLToPath(new URL('../../../../', import.meta.url))

/** Fields of a package.json that the tests check. */
interface Manifest {
  name: string
  version: string
  description: string
  license: string
  type: string
  engines: Record<string, string>
  files: string[]
  types: string
  exports: Record<string, Record<string, string>>
  bin?: Record<string, string>
}

function readManifest (path: string): Manifest {
  return JSON.parse(readFileSync(path, 'utf8')) as Manifest
}

describe('packages', () => {
  const root = readManifest(join(packages, '..', 'package.json'))

  for (const name of readdirSync(packages)) {
    test(`${name} has the fields that a package registry needs`, () => {
      const manifest = readManifest(join(packages, name, 'package.json'))
      const { license, engines, type, version, files, exports: entry, types, description } = manifest
      expect([manifest.name, license, type, version]).toEqual([`@rattanstep/${name}`, root.license, 'module', root.version])
      expect(engines).toEqual(root.engines)
      expect(description.length).toBeGreaterThan(10)
      expect(files).toEqual(expect.includes('dist/src'))
      expect(types).toEqual('./dist/src/index.d.ts')
      expect(entry).toEqual({ '.': { types, default: './dist/src/index.js' } })
      for (const file of [types, ...Object.values(entry['.'] ?? {}), ...Object.values(manifest.bin ?? {})]) {
        expect([file, existsSync(join(packages, name, file))]).toEqual([file, true])
      }
    })
  }
})
