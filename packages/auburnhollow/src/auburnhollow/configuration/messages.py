"""Messages that distribute configurations."""

from ..peers.codec import Message, register


@register("fetch-configuration")
class FetchConfiguration(Message):
    """Asks for the configuration if it is newer than revision ``above``."""

    __slots__ = ("above",)


@register("configuration")
class ConfigurationBytes(Message):
    """The bytes of a stored configuration, or ``None`` when there is no newer one."""

    __slots__ = ("data",)
