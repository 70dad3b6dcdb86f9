package dogwoodgrade.entry

import dogwoodgrade.model.Outcome
import dogwoodgrade.model.ResultCode
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsFileTest {
    private val valid =
        """
        [entry]
        name = "entry-a1"
        zone = "a"
        [platform]
        log = "10.0.0.1:7000"
        [peers]
        addresses = ["10.0.0.2:8081@b", "10.0.0.3:8081"]
        """.trimIndent()

    @Test
    fun `a file with the required settings is accepted and the others have their defaults`() {
        val settings = assertIs<Outcome.Success<Settings>>(parseSettings(valid)).value
        assertEquals("entry-a1", settings.name.text)
        assertEquals(listOf("b", null), settings.peers.map { it.zone?.text })
        assertEquals(4096, settings.limits.maximumRequests)
    }

    @Test
    fun `all errors of a file are reported together`() {
        val faulty = valid.replace("entry-a1", "Entry").replace(":7000", "") + "\n[limits]\nworkers = 0"
        val failure = assertIs<Outcome.Failure>(parseSettings(faulty))
        assertEquals(ResultCode.InvalidSettings, failure.code)
        for (name in listOf(
            "entry.name",
            "platform.log",
            "limits.workers",
        )) {
            assertTrue(name in failure.message, failure.message)
        }
    }

    @Test
    fun `an unknown setting is an error, because it may be misspelt`() {
        assertIs<Outcome.Failure>(parseSettings("$valid\n[limits]\nworker = 3"))
    }

    @Property(seed = "20261204", tries = 200)
    fun `random text is refused and never throws`(
        @ForAll text: String,
    ) {
        assertIs<Outcome.Failure>(parseSettings(text))
    }

    @Test
    fun `the table for operators lists every setting`() {
        val documented =
            Files
                .readAllLines(Path.of("../docs/settings.md"))
                .mapNotNull { Regex("""^\| `(\w+\.\w+)` \|""").find(it)?.groupValues?.get(1) }
        assertEquals(namesOf(SettingsForm.serializer().descriptor, ""), documented)
    }

    private fun namesOf(descriptor: SerialDescriptor, prefix: String): List<String> =
        (0 until descriptor.elementsCount).flatMap { index ->
            val name = prefix + descriptor.getElementName(index)
            val element = descriptor.getElementDescriptor(index)
            if (element.kind == StructureKind.CLASS) namesOf(element, "$name.") else listOf(name)
        }
}
